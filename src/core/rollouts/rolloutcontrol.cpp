#include "core/rollouts/rolloutcontrol.h"

#include "core/rollouts/rolloutentry.h"
#include "core/rollouts/rolloutlimits.h"
#include "core/rollouts/rolloutpeers.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Time that each judge leaves to those before it to write an end to the store, and
// time until it tries again.
constexpr Milliseconds WriteStagger{400};
constexpr Milliseconds WriteRetry{1000};

// A node that is up so long knows the versions of all targets.
constexpr Milliseconds KnowsFleetAfter{10000};

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
    TargetVersion ownVersion;
    TimePoint warmFrom;
    TargetCounts own;
    // Until when the own target gets no calls though the rollout was cut off.
    TimePoint promisedUntil;
    TimePoint lastReport;
    std::uint64_t dropped = 0;

    SharePlan::Options planOptions() const;
    RolloutEntry *entry(const ServiceName &service);
    void begin(RolloutRecord record, bool awaitsEvidence, const std::string &why, TimePoint now);
    void changed(const RolloutEntry &entry, const std::string &why, TimePoint now);
    void receiveRecord(const RolloutRecord &record, TimePoint now);
    void receiveCounts(const TargetCounts &counts, TimePoint now);
    void countFor(const RolloutEntry &entry);
    RolloutReport records(TimePoint now) const;
    void judgeAll(TimePoint now);
    void report(TimePoint now);
    void reportStages(TimePoint now);
    void reportCounts(const RolloutEntry &entry, TimePoint now);
    void tellAll(const RolloutEntry &entry, TimePoint now);
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

// An order takes the place of any earlier one for the same service.
void RolloutControl::Private::begin(RolloutRecord record, bool awaitsEvidence, const std::string &why, TimePoint now)
{
    const auto service = record.order.service;
    if (entries.size() >= RolloutLimits::MaxServices && !entries.contains(service)) {
        ++dropped;
        return;
    }
    const auto at = entries.insert_or_assign(service, RolloutEntry(std::move(record), planOptions(), now)).first;
    if (awaitsEvidence) {
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
    d->ownVersion = version;
    d->warmFrom = warmFrom;
}

void RolloutControl::orderRead(const StoredRollout &stored, bool listed, TimePoint now)
{
    auto *known = d->entry(stored.order.service);
    if (known != nullptr && known->order() == stored.order) {
        if (known->takeStored(stored.version, stored.stage, now)) {
            d->changed(*known, "so the store says", now);
        }
        return;
    }
    const bool older = known != nullptr && known->record(now).seen >= stored.version;
    if (older) {
        return;
    }
    const bool ended = stored.stage && isFinal(*stored.stage);
    RolloutRecord record{.order = stored.order, .seen = stored.version, .stage = ended ? *stored.stage : RolloutStage::Running};
    d->begin(record, listed && stored.stage == RolloutStage::Running, ended ? "it had ended before" : "the operator ordered it", now);
    auto *begun = d->entry(stored.order.service);
    if (begun == nullptr || ended) {
        return;
    }
    begun->takeStored(stored.version, stored.stage, now);
    const auto census = VersionCensus::of(stored.order, d->peers.members());
    if (census.others.empty() && !census.ofVersion.empty() && now - d->started >= KnowsFleetAfter) {
        begun->supposeInForce();
    }
}

void RolloutControl::orderRemoved(const ServiceName &service, TimePoint now)
{
    auto *known = d->entry(service);
    if (known != nullptr && !isFinal(known->stage()) && known->takeStored(known->record(now).seen, RolloutStage::RolledBack, now)) {
        d->changed(*known, "the operator removed the order", now);
        d->tellAll(*known, now);
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
        begin(record, false, "another node told it", now);
    } else if (merged == RolloutMerge::Stage) {
        changed(*known, "another node told it", now);
    }
}

// Only the node beside a target may count for it.
void RolloutControl::Private::receiveCounts(const TargetCounts &counts, TimePoint now)
{
    auto *known = entry(counts.service);
    const bool belongs = peers.serves(counts.node, counts.service);
    const bool current = known != nullptr && known->order().created == counts.order;
    if (!belongs || !current || !known->merge(counts, now)) {
        ++dropped;
    }
}

// Counts begin anew with an order, and with another version of the own target.
void RolloutControl::Private::countFor(const RolloutEntry &entry)
{
    const auto &order = entry.order();
    if (own.order == order.created && own.service == order.service && own.version == ownVersion) {
        return;
    }
    own = {.node = options.self.name, .process = options.self.incarnation, .service = order.service, .version = ownVersion, .order = order.created};
}

void RolloutControl::callEnded(const RouteName &route, TargetEnd end, Milliseconds time, TimePoint now)
{
    const auto *known = d->entry(d->options.self.service);
    if (known == nullptr || known->stage() >= RolloutStage::CutOff || d->ownVersion.value().empty()) {
        return;
    }
    d->countFor(*known);
    auto &routes = d->own.routes;
    auto counts = std::find_if(routes.begin(), routes.end(), [&](const RouteCounts &item) { return item.route == route; });
    if (counts == routes.end()) {
        if (routes.size() >= RolloutLimits::MaxRoutes) {
            return;
        }
        counts = routes.insert(routes.end(), RouteCounts{.route = route});
    }
    counts->add(end, time, now >= d->warmFrom);
}

void RolloutControl::Private::judgeAll(TimePoint now)
{
    for (auto &[service, entry] : entries) {
        if (entry.judge(VersionCensus::of(entry.order(), peers.members()), now)) {
            changed(entry, entry.record(now).reason, now);
            tellAll(entry, now);
        }
    }
}

// A cut-off must be known at once, and a promotion by all at the same time.
void RolloutControl::Private::tellAll(const RolloutEntry &entry, TimePoint now)
{
    const RolloutReport news{.records = {entry.record(now)}};
    for (const auto &peer : peers.others()) {
        options.send(peer, news);
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

void RolloutControl::Private::reportStages(TimePoint now)
{
    const auto report = records(now);
    for (std::size_t i = 0; i < options.fanOut && !report.records.empty(); ++i) {
        if (const auto peer = peers.next()) {
            options.send(*peer, report);
        }
    }
}

void RolloutControl::Private::reportCounts(const RolloutEntry &entry, TimePoint now)
{
    if (entry.stage() >= RolloutStage::CutOff || ownVersion.value().empty()) {
        return;
    }
    countFor(entry);
    ++own.report;
    const auto rule = entry.rule(VersionCensus::of(entry.order(), peers.members()), now);
    const bool replaced = rule && rule->mode == VersionRule::Mode::Only && rule->version != ownVersion;
    own.retired = replaced && options.targetIdle();
    promisedUntil = own.retired ? now + RetirementPromise : promisedUntil;
    if (peers.isJudge()) {
        receiveCounts(own, now);
    }
    for (const auto &peer : peers.judges()) {
        options.send(peer, {.counts = {own}});
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
    reportStages(now);
    if (const auto *known = entry(options.self.service)) {
        reportCounts(*known, now);
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
        d->judgeAll(now);
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
    if (rule && known->stage() == RolloutStage::CutOff && now < d->promisedUntil) {
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
        d->tellAll(*known, now);
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
