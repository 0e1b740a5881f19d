#include "core/rollouts/rolloutcontroller.h"

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

class RolloutController::Private
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
    // End of the retirement lease, until which the local target gets no calls even if the rollout
    // has been cut off.
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

RolloutController::RolloutController(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

RolloutController::~RolloutController() = default;

SharePlan::Options RolloutController::Private::planOptions() const
{
    return {.exposureShare = options.exposureShare};
}

RolloutEntry *RolloutController::Private::entry(const ServiceName &service)
{
    const auto found = entries.find(service);
    return found == entries.end() ? nullptr : &found->second;
}

void RolloutController::Private::changed(const RolloutEntry &entry, const std::string &why, TimePoint now)
{
    options.changed(entry.record(now), why);
}

// A spec replaces any earlier one for the same service.
void RolloutController::Private::begin(RolloutRecord record, bool awaitsPeerRecords, const std::string &why, TimePoint now)
{
    const auto service = record.spec.service;
    if (entries.size() >= RolloutLimits::MaxServices && !entries.contains(service)) {
        ++dropped;
        return;
    }
    const auto at = entries.insert_or_assign(service, RolloutEntry(std::move(record), planOptions(), now)).first;
    if (awaitsPeerRecords) {
        at->second.awaitPeerRecords();
    }
    nextWrite.erase(service);
    changed(at->second, why, now);
}

void RolloutController::setMembers(const std::vector<MemberRecord> &members, TimePoint now)
{
    d->started = d->started == TimePoint() ? now : d->started;
    d->peers.setMembers(members);
}

void RolloutController::setLocalVersion(const TargetVersion &version, TimePoint warmFrom)
{
    d->localVersion = version;
    d->warmFrom = warmFrom;
}

void RolloutController::specRead(const StoredRollout &stored, bool listed, TimePoint now)
{
    auto *known = d->entry(stored.spec.service);
    if (known != nullptr && known->spec() == stored.spec) {
        if (known->mergeStored(stored.version, stored.stage, now)) {
            d->changed(*known, "read from the store", now);
        }
        return;
    }
    const bool older = known != nullptr && known->record(now).storeVersion >= stored.version;
    if (older) {
        return;
    }
    const bool ended = stored.stage && isFinal(*stored.stage);
    RolloutRecord record{.spec = stored.spec, .storeVersion = stored.version, .stage = ended ? *stored.stage : RolloutStage::Running};
    d->begin(record, listed && stored.stage == RolloutStage::Running, ended ? "the rollout had already ended" : "an operator created the rollout", now);
    auto *begun = d->entry(stored.spec.service);
    if (begun == nullptr || ended) {
        return;
    }
    begun->mergeStored(stored.version, stored.stage, now);
    const auto targets = TargetsByVersion::build(stored.spec, d->peers.members());
    if (targets.otherVersionTargets.empty() && !targets.newVersionTargets.empty() && now - d->started >= FleetKnownAfter) {
        begun->assumeInForce();
    }
}

void RolloutController::specRemoved(const ServiceName &service, TimePoint now)
{
    auto *known = d->entry(service);
    if (known != nullptr && !isFinal(known->stage()) && known->mergeStored(known->record(now).storeVersion, RolloutStage::RolledBack, now)) {
        d->changed(*known, "an operator removed the rollout", now);
        d->broadcast(*known, now);
    }
}

void RolloutController::specsListed(const std::vector<ServiceName> &services, ObjectVersion version, TimePoint now)
{
    for (const auto &[service, entry] : d->entries) {
        const bool listed = std::find(services.begin(), services.end(), service) != services.end();
        if (!listed && entry.record(now).storeVersion <= version) {
            specRemoved(service, now);
        }
    }
}

void RolloutController::receive(const Endpoint &from, const RolloutReport &report, TimePoint now)
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

void RolloutController::Private::receiveRecord(const RolloutRecord &record, TimePoint now)
{
    if (!isValidRecord(record)) {
        ++dropped;
        return;
    }
    auto *known = entry(record.spec.service);
    const auto merged = known == nullptr ? RolloutMerge::Spec : known->merge(record, now);
    if (merged == RolloutMerge::Spec) {
        begin(record, false, "reported by another node", now);
    } else if (merged == RolloutMerge::Stage) {
        changed(*known, "reported by another node", now);
    }
}

// Only the node beside a target may report its call counts.
void RolloutController::Private::receiveCounts(const TargetCounts &counts, TimePoint now)
{
    auto *known = entry(counts.service);
    const bool belongs = peers.serves(counts.node, counts.service);
    const bool current = known != nullptr && known->spec().created == counts.specCreated;
    if (!belongs || !current || !known->merge(counts, now)) {
        ++dropped;
    }
}

// The counts start from zero with a new spec and when the version of the local target changes.
void RolloutController::Private::resetCountsFor(const RolloutEntry &entry)
{
    const auto &spec = entry.spec();
    if (localCounts.specCreated == spec.created && localCounts.service == spec.service && localCounts.version == localVersion) {
        return;
    }
    localCounts
        = {.node = options.self.name, .process = options.self.incarnation, .service = spec.service, .version = localVersion, .specCreated = spec.created};
}

void RolloutController::callEnded(const RouteName &route, TargetResult result, Milliseconds time, TimePoint now)
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

void RolloutController::Private::evaluateAll(TimePoint now)
{
    for (auto &[service, entry] : entries) {
        if (entry.evaluate(TargetsByVersion::build(entry.spec(), peers.members()), now)) {
            changed(entry, entry.record(now).reason, now);
            broadcast(entry, now);
        }
    }
}

// Notifies all members directly: a cut-off has to take effect without delay, and a promotion
// everywhere at the same time.
void RolloutController::Private::broadcast(const RolloutEntry &entry, TimePoint now)
{
    const RolloutReport update{.records = {entry.record(now)}};
    for (const auto &peer : peers.peerAddresses()) {
        options.send(peer, update);
    }
}

RolloutReport RolloutController::Private::records(TimePoint now) const
{
    RolloutReport report;
    for (const auto &[service, entry] : entries) {
        if (entry.isReportable()) {
            report.records.push_back(entry.record(now));
        }
    }
    return report;
}

void RolloutController::Private::sendStages(TimePoint now)
{
    const auto report = records(now);
    for (std::size_t i = 0; i < options.fanOut && !report.records.empty(); ++i) {
        if (const auto peer = peers.randomPeer()) {
            options.send(*peer, report);
        }
    }
}

void RolloutController::Private::sendCounts(const RolloutEntry &entry, TimePoint now)
{
    if (entry.stage() >= RolloutStage::CutOff || localVersion.value().empty()) {
        return;
    }
    resetCountsFor(entry);
    ++localCounts.sequence;
    const auto rule = entry.rule(TargetsByVersion::build(entry.spec(), peers.members()), now);
    const bool replaced = rule && rule->mode == VersionRule::Mode::Only && rule->version != localVersion;
    localCounts.retired = replaced && options.targetIdle();
    retiredUntil = localCounts.retired ? now + RetirementLease : retiredUntil;
    if (peers.isEvaluator()) {
        receiveCounts(localCounts, now);
    }
    for (const auto &peer : peers.evaluators()) {
        options.send(peer, {.counts = {localCounts}});
    }
}

void RolloutController::Private::report(TimePoint now)
{
    const bool active = std::any_of(entries.begin(), entries.end(), [&](const auto &item) { return item.second.isActive(now); });
    const auto interval = active ? options.reportInterval : options.idleInterval;
    if (entries.empty() || now - lastReport < interval) {
        return;
    }
    lastReport = now;
    sendStages(now);
    if (const auto *known = entry(options.self.service)) {
        sendCounts(*known, now);
    }
}

void RolloutController::tick(TimePoint now)
{
    if (d->entries.empty()) {
        return;
    }
    for (auto &[service, entry] : d->entries) {
        entry.tick(now);
    }
    d->report(now);
    if (d->peers.isEvaluator()) {
        d->evaluateAll(now);
    }
}

VersionRules RolloutController::rules(TimePoint now) const
{
    VersionRules rules;
    for (const auto &[service, entry] : d->entries) {
        if (auto rule = entry.rule(TargetsByVersion::build(entry.spec(), d->peers.members()), now)) {
            rules.emplace(service, std::move(*rule));
        }
    }
    return rules;
}

std::optional<VersionRule> RolloutController::localRule(TimePoint now) const
{
    const auto *known = d->entry(d->options.self.service);
    if (known == nullptr) {
        return std::nullopt;
    }
    auto rule = known->rule(TargetsByVersion::build(known->spec(), d->peers.members()), now);
    if (rule && known->stage() == RolloutStage::CutOff && now < d->retiredUntil) {
        rule->mode = VersionRule::Mode::Only;
    }
    return rule;
}

bool RolloutController::isEvaluator() const
{
    return d->peers.isEvaluator();
}

std::size_t RolloutController::evaluatorRank() const
{
    return d->peers.rank();
}

std::vector<RolloutWrite> RolloutController::dueWrites(TimePoint now)
{
    std::vector<RolloutWrite> writes;
    if (!d->peers.isEvaluator()) {
        return writes;
    }
    const auto stagger = WriteStagger * static_cast<int>(d->peers.rank());
    for (const auto &[service, entry] : d->entries) {
        const auto stage = entry.pendingStage(TargetsByVersion::build(entry.spec(), d->peers.members()), now);
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
            writes.push_back({.spec = entry.spec(), .stage = *stage, .expected = record.storeVersion, .reason = record.reason});
        }
    }
    return writes;
}

void RolloutController::writeCompleted(const RolloutWrite &write, ObjectVersion version, TimePoint now)
{
    auto *known = d->entry(write.spec.service);
    if (known != nullptr && known->spec() == write.spec && known->mergeStored(version, write.stage, now)) {
        d->changed(*known, "written to the store", now);
        d->broadcast(*known, now);
    }
}

std::uint64_t RolloutController::dropped() const
{
    return d->dropped;
}

std::vector<RolloutController::Status> RolloutController::status(TimePoint now) const
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
