#include "core/rollouts/rolloutentry.h"

#include "core/rollouts/rolloutlimits.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace Galenahill {

namespace {

// Time between two looks at the evidence.
constexpr Milliseconds ObserveInterval{500};

// Time to wait for the records of other nodes about an order that is found begun.
constexpr Milliseconds EvidenceWait{2000};

// Time for a cut-off to reach the other nodes before it is written to the store.
constexpr Milliseconds CutOffSpread{300};

// Time for which reports of an order that has ended stay frequent.
constexpr Milliseconds EndSpread{3000};

// Time after a success in which the old targets, which the platform stops, get no calls.
constexpr Milliseconds OldTargetsStop{10000};

// Calls of the version without which it isn't promoted.
constexpr std::uint64_t LeastCalls = 20;

// Share of the convicting score at which a version isn't promoted.
constexpr double DoubtfulShare = 0.5;

// Least targets of the version, as a share of the others, to begin a promotion and to go
// on with it. The second is lower, so that a mass failure of both versions undoes nothing.
constexpr double LeastTargets = 0.5;
constexpr double LeastTargetsLeft = 0.25;

double targetShare(const VersionCensus &census)
{
    return static_cast<double>(census.ofVersion.size()) / static_cast<double>(std::max<std::size_t>(census.othersReady, 1));
}

}

RolloutEntry::RolloutEntry(RolloutRecord record, SharePlan::Options plan, TimePoint now)
    : m_record(std::move(record))
    , m_plan(plan)
    , m_begun(now - Milliseconds(m_record.ageMs))
    , m_since(now)
    , m_test({.version = m_record.order.version})
{
}

void RolloutEntry::awaitEvidence()
{
    m_awaitsEvidence = true;
}

void RolloutEntry::tick(TimePoint now)
{
    if (m_awaitsEvidence && now - m_since >= EvidenceWait) {
        m_awaitsEvidence = false;
        m_begun = now;
        m_since = now;
    }
}

void RolloutEntry::supposeInForce()
{
    m_inForce = true;
}

RolloutRecord RolloutEntry::record(TimePoint now) const
{
    auto record = m_record;
    const auto age = std::chrono::duration_cast<Milliseconds>(now - m_begun).count();
    record.ageMs = static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, record.promotedAtMs, UINT32_MAX));
    return record;
}

const RolloutOrder &RolloutEntry::order() const
{
    return m_record.order;
}

RolloutStage RolloutEntry::stage() const
{
    return m_record.stage;
}

const VersionTest &RolloutEntry::test() const
{
    return m_test;
}

SharePlan::Step RolloutEntry::step(TimePoint now) const
{
    return m_plan.at(record(now));
}

bool RolloutEntry::isActive(TimePoint now) const
{
    return !isFinal(stage()) || now - m_since < EndSpread;
}

bool RolloutEntry::isCertain() const
{
    return !m_awaitsEvidence;
}

bool RolloutEntry::moveTo(RolloutStage stage, std::string reason, TimePoint now)
{
    if (stage <= m_record.stage) {
        return false;
    }
    m_record = record(now);
    m_record.stage = stage;
    m_record.reason = std::move(reason);
    m_record.reason.resize(std::min(m_record.reason.size(), RolloutLimits::MaxReasonBytes));
    if (stage == RolloutStage::Promoting) {
        m_record.promotedAtMs = m_record.ageMs;
    }
    m_since = now;
    m_awaitsEvidence = false;
    return true;
}

RolloutMerge RolloutEntry::merge(const RolloutRecord &heard, TimePoint now)
{
    auto own = record(now);
    const auto merged = mergeRollout(own, heard);
    if (merged == RolloutMerge::Order) {
        return merged;
    }
    if (heard.order == own.order) {
        m_awaitsEvidence = false;
    }
    m_begun = std::min<TimePoint>(m_begun, now - Milliseconds(own.ageMs));
    m_record = std::move(own);
    if (merged == RolloutMerge::Stage) {
        m_since = now;
    }
    return merged;
}

bool RolloutEntry::merge(const TargetCounts &counts, TimePoint now)
{
    return m_evidence.merge(counts, now);
}

bool RolloutEntry::takeStored(ObjectVersion version, std::optional<RolloutStage> stage, TimePoint now)
{
    m_record.seen = std::max(m_record.seen, version);
    if (!stage) {
        return false;
    }
    m_stored = stage;
    return isFinal(*stage) && moveTo(*stage, m_record.reason, now);
}

bool RolloutEntry::cutOff(std::string reason, TimePoint now)
{
    return moveTo(RolloutStage::CutOff, std::move(reason), now);
}

bool RolloutEntry::judge(const VersionCensus &census, TimePoint now)
{
    const bool decided = m_awaitsEvidence || m_inForce || stage() >= RolloutStage::CutOff;
    if (decided || now - m_lastObserved < ObserveInterval) {
        return false;
    }
    m_lastObserved = now;
    if (stage() == RolloutStage::Promoting && targetShare(census) < LeastTargetsLeft) {
        return cutOff("too few targets of the version are left to take all calls", now);
    }
    m_test.observe(m_evidence, now);
    if (m_test.convicts()) {
        const auto *what = m_test.failureScore() > m_test.slownessScore() ? "fails more than" : "is slower than";
        return cutOff(fmt::format("it {} the other targets: {}", what, m_test.summary()), now);
    }
    const auto current = record(now);
    if (m_plan.isTooLate(current)) {
        const auto *why = census.ofVersion.empty() ? "no target of the version takes calls" : "too little is known of it to promote it in time";
        return cutOff(fmt::format("{}: {}", why, m_test.summary()), now);
    }
    return m_plan.mayPromote(current) && isProven(census) && moveTo(RolloutStage::Promoting, m_test.summary(), now);
}

bool RolloutEntry::isProven(const VersionCensus &census) const
{
    const bool proven
        = m_test.calls() >= LeastCalls && std::max(m_test.failureScore(), m_test.slownessScore()) < DoubtfulShare * VersionTest::Options().threshold;
    return proven && !census.ofVersion.empty() && targetShare(census) >= LeastTargets;
}

bool RolloutEntry::othersRetired(const VersionCensus &census, TimePoint now) const
{
    return std::all_of(census.others.begin(), census.others.end(), [&](const NodeName &node) { return m_evidence.isRetired(node, now); });
}

std::optional<RolloutStage> RolloutEntry::wantedInStore(const VersionCensus &census, TimePoint now) const
{
    auto wanted = RolloutStage::Running;
    if (m_awaitsEvidence || isFinal(stage())) {
        return std::nullopt;
    }
    if (stage() == RolloutStage::CutOff) {
        if (now - m_since < CutOffSpread) {
            return std::nullopt;
        }
        wanted = RolloutStage::RolledBack;
    } else if (m_inForce || (m_plan.takesAll(record(now)) && othersRetired(census, now))) {
        wanted = RolloutStage::Succeeded;
    }
    return m_stored == wanted ? std::nullopt : std::optional(wanted);
}

// The same at every node that knows the same members: those first in rendezvous order.
std::vector<NodeName> RolloutEntry::loadedTargets(const SharePlan::Step &step, const VersionCensus &census) const
{
    if (step.targets == 0) {
        return {};
    }
    auto targets = census.ofVersion;
    const auto weight = [&](const NodeName &node) {
        const auto text = fmt::format("{}/{}/{}", m_record.order.created.value(), step.spell, node.value());
        return XXH3_64bits(text.data(), text.size());
    };
    std::sort(targets.begin(), targets.end(), [&](const NodeName &left, const NodeName &right) { return weight(left) > weight(right); });
    targets.resize(std::min(targets.size(), step.targets));
    return targets;
}

std::optional<VersionRule> RolloutEntry::rule(const VersionCensus &census, TimePoint now) const
{
    using Mode = VersionRule::Mode;
    VersionRule rule{.version = m_record.order.version};
    if (m_awaitsEvidence || stage() == RolloutStage::CutOff || stage() == RolloutStage::RolledBack) {
        rule.mode = Mode::Excluded;
        return rule;
    }
    const bool over = stage() == RolloutStage::Succeeded && now - m_since >= OldTargetsStop;
    if (over || m_inForce) {
        return std::nullopt;
    }
    const auto step = m_plan.at(record(now));
    if (step.share >= 1) {
        rule.mode = Mode::Only;
        return rule;
    }
    rule.share = step.share;
    rule.targets = loadedTargets(step, census);
    return rule;
}

}
