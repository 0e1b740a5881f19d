#include "core/rollouts/rolloutentry.h"

#include "core/rollouts/rolloutlimits.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace Galenahill {

namespace {

// Interval at which the call counts are evaluated.
constexpr Milliseconds EvaluationInterval{500};

// Time to wait for the records of other nodes about a rollout that had already started.
constexpr Milliseconds PeerRecordsWait{2000};

// Time for a cut-off to reach the other nodes before it is written to the store.
constexpr Milliseconds CutOffPropagation{300};

// Time after the end of a rollout for which its reports stay frequent.
constexpr Milliseconds EndPropagation{3000};

// Time after a success during which the old targets, which the platform stops, get no calls.
constexpr Milliseconds OldTargetsStopTime{10000};

// Minimum number of calls to the new version before it can be promoted.
constexpr std::uint64_t MinCalls = 20;

// Fraction of the rejection threshold from which on a score prevents the promotion.
constexpr double DoubtfulScoreRatio = 0.5;

// Minimum number of targets of the new version, relative to those of the other versions, to start a
// promotion and to continue it. The second is lower so that a mass failure of both versions does
// not revert a promotion.
constexpr double MinTargetRatio = 0.5;
constexpr double MinRemainingTargetRatio = 0.25;

double targetRatio(const TargetsByVersion &targets)
{
    return static_cast<double>(targets.newVersionTargets.size()) / static_cast<double>(std::max<std::size_t>(targets.otherVersionReadyCount, 1));
}

}

RolloutEntry::RolloutEntry(RolloutRecord record, SharePlan::Options plan, TimePoint now)
    : m_record(std::move(record))
    , m_plan(plan)
    , m_begun(now - Milliseconds(m_record.ageMs))
    , m_stageSince(now)
    , m_test({.version = m_record.spec.version})
{
}

void RolloutEntry::awaitPeerRecords()
{
    m_awaitsPeerRecords = true;
}

void RolloutEntry::tick(TimePoint now)
{
    if (m_awaitsPeerRecords && now - m_stageSince >= PeerRecordsWait) {
        m_awaitsPeerRecords = false;
        m_begun = now;
        m_stageSince = now;
    }
}

void RolloutEntry::assumeInForce()
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

const RolloutSpec &RolloutEntry::spec() const
{
    return m_record.spec;
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
    return !isFinal(stage()) || now - m_stageSince < EndPropagation;
}

bool RolloutEntry::isReportable() const
{
    return !m_awaitsPeerRecords;
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
    m_stageSince = now;
    m_awaitsPeerRecords = false;
    return true;
}

RolloutMerge RolloutEntry::merge(const RolloutRecord &remote, TimePoint now)
{
    auto local = record(now);
    const auto merged = mergeRollout(local, remote);
    if (merged == RolloutMerge::Spec) {
        return merged;
    }
    if (remote.spec == local.spec) {
        m_awaitsPeerRecords = false;
    }
    m_begun = std::min<TimePoint>(m_begun, now - Milliseconds(local.ageMs));
    m_record = std::move(local);
    if (merged == RolloutMerge::Stage) {
        m_stageSince = now;
    }
    return merged;
}

bool RolloutEntry::merge(const TargetCounts &counts, TimePoint now)
{
    return m_counts.merge(counts, now);
}

bool RolloutEntry::mergeStored(ObjectVersion version, std::optional<RolloutStage> stage, TimePoint now)
{
    m_record.storeVersion = std::max(m_record.storeVersion, version);
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

bool RolloutEntry::evaluate(const TargetsByVersion &targets, TimePoint now)
{
    const bool decided = m_awaitsPeerRecords || m_inForce || stage() >= RolloutStage::CutOff;
    if (decided || now - m_lastEvaluated < EvaluationInterval) {
        return false;
    }
    m_lastEvaluated = now;
    if (stage() == RolloutStage::Promoting && targetRatio(targets) < MinRemainingTargetRatio) {
        return cutOff("too few targets of the new version are left to run all calls", now);
    }
    m_test.observe(m_counts, now);
    if (m_test.detectsRegression()) {
        const auto *finding = m_test.failureScore() > m_test.slownessScore() ? "fails more often than" : "is slower than";
        return cutOff(fmt::format("the new version {} the other targets: {}", finding, m_test.summary()), now);
    }
    const auto current = record(now);
    if (m_plan.isTooLate(current)) {
        const auto *cause
            = targets.newVersionTargets.empty() ? "no target of the version accepts calls" : "the comparison wasn't conclusive enough to promote it in time";
        return cutOff(fmt::format("{}: {}", cause, m_test.summary()), now);
    }
    return m_plan.mayPromote(current) && isReadyToPromote(targets) && moveTo(RolloutStage::Promoting, m_test.summary(), now);
}

bool RolloutEntry::isReadyToPromote(const TargetsByVersion &targets) const
{
    const bool proven
        = m_test.calls() >= MinCalls && std::max(m_test.failureScore(), m_test.slownessScore()) < DoubtfulScoreRatio * VersionTest::Options().threshold;
    return proven && !targets.newVersionTargets.empty() && targetRatio(targets) >= MinTargetRatio;
}

bool RolloutEntry::otherVersionsRetired(const TargetsByVersion &targets, TimePoint now) const
{
    return std::all_of(
        targets.otherVersionTargets.begin(), targets.otherVersionTargets.end(), [&](const NodeName &node) { return m_counts.isRetired(node, now); });
}

std::optional<RolloutStage> RolloutEntry::pendingStage(const TargetsByVersion &targets, TimePoint now) const
{
    auto pending = RolloutStage::Running;
    if (m_awaitsPeerRecords || isFinal(stage())) {
        return std::nullopt;
    }
    if (stage() == RolloutStage::CutOff) {
        if (now - m_stageSince < CutOffPropagation) {
            return std::nullopt;
        }
        pending = RolloutStage::RolledBack;
    } else if (m_inForce || (m_plan.takesAll(record(now)) && otherVersionsRetired(targets, now))) {
        pending = RolloutStage::Succeeded;
    }
    return m_stored == pending ? std::nullopt : std::optional(pending);
}

// Selects targets by rendezvous hashing, so that all nodes that know the same members select the
// same ones.
std::vector<NodeName> RolloutEntry::loadPhaseTargets(const SharePlan::Step &step, const TargetsByVersion &targets) const
{
    if (step.targets == 0) {
        return {};
    }
    auto selected = targets.newVersionTargets;
    const auto weight = [&](const NodeName &node) {
        const auto text = fmt::format("{}/{}/{}", m_record.spec.created.value(), step.loadPhase, node.value());
        return XXH3_64bits(text.data(), text.size());
    };
    std::sort(selected.begin(), selected.end(), [&](const NodeName &left, const NodeName &right) { return weight(left) > weight(right); });
    selected.resize(std::min(selected.size(), step.targets));
    return selected;
}

std::optional<VersionRule> RolloutEntry::rule(const TargetsByVersion &targets, TimePoint now) const
{
    using Mode = VersionRule::Mode;
    VersionRule rule{.version = m_record.spec.version};
    if (m_awaitsPeerRecords || stage() == RolloutStage::CutOff || stage() == RolloutStage::RolledBack) {
        rule.mode = Mode::Excluded;
        return rule;
    }
    const bool over = stage() == RolloutStage::Succeeded && now - m_stageSince >= OldTargetsStopTime;
    if (over || m_inForce) {
        return std::nullopt;
    }
    const auto step = m_plan.at(record(now));
    if (step.share >= 1) {
        rule.mode = Mode::Only;
        return rule;
    }
    rule.share = step.share;
    rule.targets = loadPhaseTargets(step, targets);
    return rule;
}

}
