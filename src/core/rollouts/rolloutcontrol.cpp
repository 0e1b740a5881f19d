#include "core/rollouts/rolloutcontrol.h"

#include "core/rollouts/rolloutentry.h"
#include "core/rollouts/rolloutlimits.h"
#include "core/rollouts/rolloutpeers.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Delay per rank before an evaluator writes a stage, so that usually only one of them does, and the
// interval between its attempts.
constexpr Milliseconds WriteStagger{400};
constexpr Milliseconds WriteRetry{1000};

// Uptime after which a node has learnt the versions of all targets through gossip.
constexpr Milliseconds FleetKnownAfter{10000};

}

class RolloutControl::Private
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , peers(options.self, options.seed)
    {
    }

    Options options;
    RolloutPeers peers;
    TimePoint started;
    std::map<ServiceName, RolloutEntry> entries;
    std::map<ServiceName, TimePoint> nextWrite;
    TargetVersion localVersion;
    TimePoint warmFrom;
    TargetCounts localCounts;
    // Until when the local target gets no calls even if the rollout has been cut off.
    TimePoint retiredUntil;
    TimePoint lastReport;
    std::uint64_t dropped = 0;

    SharePlan::Options planOptions() const;
    RolloutEntry *entry(const ServiceName &service);
    void begin(RolloutRecord record, bool awaitsPeerRecords, const std::string &why, TimePoint now);
    void changed(const RolloutEntry &entry, const std::string &why, TimePoint now);
    void receiveRecord(const RolloutRecord &record, TimePoint now);
    void receiveCounts(const TargetCounts &counts, TimePoint now);
    void resetCountsFor(const RolloutEntry &entry);
    RolloutReport records(TimePoint now) const;
    void evaluateAll(TimePoint now);
    void report(TimePoint now);
    void sendStages(TimePoint now);
    void sendCounts(const RolloutEntry &entry, TimePoint now);
    void broadcast(const RolloutEntry &entry, TimePoint now);
};

RolloutControl::RolloutControl(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

RolloutControl::~RolloutControl() = default;

SharePlan::Options RolloutControl::Private::planOptions() const
{
    return {.exposureShare = options.exposureShare};
}

RolloutEntry *RolloutControl::Private::entry(const ServiceName &service)
{
    const auto found = entries.find(service);
    return found == entries.end() ? nullptr : &found->second;
}

void RolloutControl::Private::changed(const RolloutEntry &entry, const std::string &why, TimePoint now)
{
    options.changed(entry.record(now), why);
}

// A spec replaces any earlier one for the same service.
void RolloutControl::Private::begin(RolloutRecord record, bool awaitsPeerRecords, const std::string &why, TimePoint now)
{
    const auto service = record.order.service;
    if (entries.size() >= RolloutLimits::MaxServices && !entries.contains(service)) {
        ++dropped;
        return;
    }
    const auto at = entries.insert_or_assign(service, RolloutEntry(std::move(record), planOptions(), now)).first;
    if (awaitsPeerRecords) {
        at->second.awaitEvidence();
    }
    nextWrite.erase(service);
    changed(at->second, why, now);
}

void RolloutControl::setMembers(const std::vector<MemberRecord> &members, TimePoint now)
{
    d->started = d->started == TimePoint() ? now : d->started;
    d->peers.setMembers(members);
}

void RolloutControl::setOwnVersion(const TargetVersion &version, TimePoint warmFrom)
{
    d->localVersion = version;
    d->warmFrom = warmFrom;
}

void RolloutControl::orderRead(const StoredRollout &stored, bool listed, TimePoint now)
{
    auto *known = d->entry(stored.order.service);
    if (known != nullptr && known->order() == stored.order) {
        if (known->takeStored(stored.version, stored.stage, now)) {
            d->changed(*known, "read from the store", now);
        }
        return;
    }
    const bool older = known != nullptr && known->record(now).seen >= stored.version;
    if (older) {
        return;
    }
    const bool ended = stored.stage && isFinal(*stored.stage);
    RolloutRecord record{.order = stored.order, .seen = stored.version, .stage = ended ? *stored.stage : RolloutStage::Running};
    d->begin(record, listed && stored.stage == RolloutStage::Running, ended ? "the rollout had already ended" : "an operator created the rollout", now);
    auto *begun = d->entry(stored.order.service);
    if (begun == nullptr || ended) {
        return;
    }
    begun->takeStored(stored.version, stored.stage, now);
    const auto targets = VersionCensus::of(stored.order, d->peers.members());
    if (targets.others.empty() && !targets.ofVersion.empty() && now - d->started >= FleetKnownAfter) {
        begun->supposeInForce();
    }
}

void RolloutControl::orderRemoved(const ServiceName &service, TimePoint now)
{
    auto *known = d->entry(service);
    if (known != nullptr && !isFinal(known->stage()) && known->takeStored(known->record(now).seen, RolloutStage::RolledBack, now)) {
        d->changed(*known, "an operator removed the rollout", now);
        d->broadcast(*known, now);
    }
}

void RolloutControl::ordersListed(const std::vector<ServiceName> &services, ObjectVersion version, TimePoint now)
{
    for (const auto &[service, entry] : d->entries) {
        const bool listed = std::find(services.begin(), services.end(), service) != services.end();
        if (!listed && entry.record(now).seen <= version) {
            orderRemoved(service, now);
        }
    }
}

void RolloutControl::receive(const Endpoint &from, const RolloutReport &report, TimePoint now)
{
    const bool tooMany = report.records.size() > RolloutLimits::MaxServices || report.counts.size() > RolloutLimits::MaxServices;
    if (!d->peers.isMember(from) || tooMany) {
        ++d->dropped;
        return;
    }
    for (const auto &record : report.records) {
        d->receiveRecord(record, now);
    }
    for (const auto &counts : report.counts) {
        d->receiveCounts(counts, now);
    }
}

void RolloutControl::Private::receiveRecord(const RolloutRecord &record, TimePoint now)
{
    if (!isPlausible(record)) {
        ++dropped;
        return;
    }
    auto *known = entry(record.order.service);
    const auto merged = known == nullptr ? RolloutMerge::Order : known->merge(record, now);
    if (merged == RolloutMerge::Order) {
        begin(record, false, "reported by another node", now);
    } else if (merged == RolloutMerge::Stage) {
        changed(*known, "reported by another node", now);
    }
}

// Only the node beside a target may report its call counts.
void RolloutControl::Private::receiveCounts(const TargetCounts &counts, TimePoint now)
{
    auto *known = entry(counts.service);
    const bool belongs = peers.serves(counts.node, counts.service);
    const bool current = known != nullptr && known->order().created == counts.order;
    if (!belongs || !current || !known->merge(counts, now)) {
        ++dropped;
    }
}

// The counts start from zero with a new spec and when the version of the local target changes.
void RolloutControl::Private::resetCountsFor(const RolloutEntry &entry)
{
    const auto &spec = entry.order();
    if (localCounts.order == spec.created && localCounts.service == spec.service && localCounts.version == localVersion) {
        return;
    }
    localCounts = {.node = options.self.name, .process = options.self.incarnation, .service = spec.service, .version = localVersion, .order = spec.created};
}

void RolloutControl::callEnded(const RouteName &route, TargetEnd result, Milliseconds time, TimePoint now)
{
    const auto *known = d->entry(d->options.self.service);
    if (known == nullptr || known->stage() >= RolloutStage::CutOff || d->localVersion.value().empty()) {
        return;
    }
    d->resetCountsFor(*known);
    auto &routes = d->localCounts.routes;
    auto counts = std::find_if(routes.begin(), routes.end(), [&](const RouteCounts &item) { return item.route == route; });
    if (counts == routes.end()) {
        if (routes.size() >= RolloutLimits::MaxRoutes) {
            return;
        }
        counts = routes.insert(routes.end(), RouteCounts{.route = route});
    }
    counts->add(result, time, now >= d->warmFrom);
}

void RolloutControl::Private::evaluateAll(TimePoint now)
{
    for (auto &[service, entry] : entries) {
        if (entry.judge(VersionCensus::of(entry.order(), peers.members()), now)) {
            changed(entry, entry.record(now).reason, now);
            broadcast(entry, now);
        }
    }
}

// Notifies all members directly: a cut-off has to take effect without delay, and a promotion
// everywhere at the same time.
void RolloutControl::Private::broadcast(const RolloutEntry &entry, TimePoint now)
{
    const RolloutReport update{.records = {entry.record(now)}};
    for (const auto &peer : peers.others()) {
        options.send(peer, update);
    }
}

RolloutReport RolloutControl::Private::records(TimePoint now) const
{
    RolloutReport report;
    for (const auto &[service, entry] : entries) {
        if (entry.isCertain()) {
            report.records.push_back(entry.record(now));
        }
    }
    return report;
}

void RolloutControl::Private::sendStages(TimePoint now)
{
    const auto report = records(now);
    for (std::size_t i = 0; i < options.fanOut && !report.records.empty(); ++i) {
        if (const auto peer = peers.next()) {
            options.send(*peer, report);
        }
    }
}

void RolloutControl::Private::sendCounts(const RolloutEntry &entry, TimePoint now)
{
    if (entry.stage() >= RolloutStage::CutOff || localVersion.value().empty()) {
        return;
    }
    resetCountsFor(entry);
    ++localCounts.report;
    const auto rule = entry.rule(VersionCensus::of(entry.order(), peers.members()), now);
    const bool replaced = rule && rule->mode == VersionRule::Mode::Only && rule->version != localVersion;
    localCounts.retired = replaced && options.targetIdle();
    retiredUntil = localCounts.retired ? now + RetirementPromise : retiredUntil;
    if (peers.isJudge()) {
        receiveCounts(localCounts, now);
    }
    for (const auto &peer : peers.judges()) {
        options.send(peer, {.counts = {localCounts}});
    }
}

void RolloutControl::Private::report(TimePoint now)
{
    const bool active = std::any_of(entries.begin(), entries.end(), [&](const auto &item) { return item.second.isActive(now); });
    const auto interval = active ? options.reportInterval : options.restInterval;
    if (entries.empty() || now - lastReport < interval) {
        return;
    }
    lastReport = now;
    sendStages(now);
    if (const auto *known = entry(options.self.service)) {
        sendCounts(*known, now);
    }
}

void RolloutControl::tick(TimePoint now)
{
    if (d->entries.empty()) {
        return;
    }
    for (auto &[service, entry] : d->entries) {
        entry.tick(now);
    }
    d->report(now);
    if (d->peers.isJudge()) {
        d->evaluateAll(now);
    }
}

VersionRules RolloutControl::rules(TimePoint now) const
{
    VersionRules rules;
    for (const auto &[service, entry] : d->entries) {
        if (auto rule = entry.rule(VersionCensus::of(entry.order(), d->peers.members()), now)) {
            rules.emplace(service, std::move(*rule));
        }
    }
    return rules;
}

std::optional<VersionRule> RolloutControl::ownRule(TimePoint now) const
{
    const auto *known = d->entry(d->options.self.service);
    if (known == nullptr) {
        return std::nullopt;
    }
    auto rule = known->rule(VersionCensus::of(known->order(), d->peers.members()), now);
    if (rule && known->stage() == RolloutStage::CutOff && now < d->retiredUntil) {
        rule->mode = VersionRule::Mode::Only;
    }
    return rule;
}

bool RolloutControl::isJudge() const
{
    return d->peers.isJudge();
}

std::vector<RolloutWrite> RolloutControl::dueWrites(TimePoint now)
{
    std::vector<RolloutWrite> writes;
    if (!d->peers.isJudge()) {
        return writes;
    }
    const auto stagger = WriteStagger * static_cast<int>(d->peers.rank());
    for (const auto &[service, entry] : d->entries) {
        const auto stage = entry.wantedInStore(VersionCensus::of(entry.order(), d->peers.members()), now);
        auto &next = d->nextWrite[service];
        if (!stage) {
            next = TimePoint();
            continue;
        }
        if (next == TimePoint()) {
            next = now + stagger;
        }
        if (now >= next) {
            next = now + WriteRetry;
            const auto record = entry.record(now);
            writes.push_back({.order = entry.order(), .stage = *stage, .expected = record.seen, .reason = record.reason});
        }
    }
    return writes;
}

void RolloutControl::written(const RolloutWrite &write, ObjectVersion version, TimePoint now)
{
    auto *known = d->entry(write.order.service);
    if (known != nullptr && known->order() == write.order && known->takeStored(version, write.stage, now)) {
        d->changed(*known, "written to the store", now);
        d->broadcast(*known, now);
    }
}

std::uint64_t RolloutControl::dropped() const
{
    return d->dropped;
}

std::vector<RolloutControl::Status> RolloutControl::status(TimePoint now) const
{
    std::vector<Status> all;
    for (const auto &[service, entry] : d->entries) {
        all.push_back({.record = entry.record(now),
            .step = entry.step(now),
            .test = entry.test().summary(),
            .calls = entry.test().calls(),
            .failures = entry.test().failures()});
    }
    return all;
}

}
