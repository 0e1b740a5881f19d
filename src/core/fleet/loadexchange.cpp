#include "core/fleet/loadexchange.h"

#include <algorithm>
#include <map>
#include <random>
#include <unordered_map>
#include <unordered_set>

namespace Galenahill {

namespace {

// Higher values can only be errors of the sender.
constexpr std::uint32_t MaxCalls = 1'000'000;
constexpr std::uint32_t MaxWaitMs = 60'000;

// Maximum number of targets and pools in one report, so that it fits into a datagram.
constexpr std::size_t MaxTargets = 80;
constexpr std::size_t MaxPools = 40;

std::uint32_t ageMs(TimePoint observed, TimePoint now)
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<Milliseconds>(now - observed).count());
}

bool inRange(std::uint32_t calls, std::uint32_t limit, std::uint32_t waitMs)
{
    return calls <= MaxCalls && limit <= MaxCalls && waitMs <= MaxWaitMs;
}

}

class LoadExchange::Private
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , random(options.seed)
    {
    }

    struct KnownTarget
    {
        TargetReport report;
        TimePoint observed;
    };

    struct KnownPool
    {
        PoolReport report;
        TimePoint observed;
    };

    using PoolKey = std::pair<DataCentre, ServiceName>;

    Options options;
    std::mt19937_64 random;
    std::unordered_map<NodeName, MemberRecord> members;
    std::unordered_set<std::string> knownSenders;
    std::unordered_set<DataCentre> dataCentres;
    std::unordered_set<ServiceName> services;
    std::vector<Endpoint> localPeers;
    std::vector<Endpoint> remotePeers;
    std::unordered_map<NodeName, KnownTarget> targets;
    std::map<PoolKey, KnownPool> pools;
    TimePoint lastReport;
    TimePoint nextRemote;
    std::uint64_t dropped = 0;

    void receiveTarget(const TargetReport &report, TimePoint now);
    void receivePool(const PoolReport &report, TimePoint now);
    void recordLocalLoad(TimePoint now);
    void sumLocalPools(TimePoint now);
    void expireOld(TimePoint now);
    LoadReport localReport(TimePoint now);
    LoadReport remoteReport(TimePoint now) const;
};

LoadExchange::LoadExchange(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

LoadExchange::~LoadExchange() = default;

std::uint64_t LoadExchange::dropped() const
{
    return d->dropped;
}

std::size_t LoadExchange::knownTargets() const
{
    return d->targets.size();
}

Milliseconds LoadExchange::oldestTargetAge(TimePoint now) const
{
    Milliseconds oldest{0};
    for (const auto &[name, known] : d->targets) {
        oldest = std::max(oldest, std::chrono::duration_cast<Milliseconds>(now - known.observed));
    }
    return oldest;
}

void LoadExchange::setMembers(const std::vector<MemberRecord> &members)
{
    d->members.clear();
    d->knownSenders.clear();
    d->dataCentres.clear();
    d->services.clear();
    d->localPeers.clear();
    d->remotePeers.clear();
    for (const auto &member : members) {
        d->members.emplace(member.name, member);
        d->services.insert(member.service);
        if (member.name == d->options.self.name) {
            continue;
        }
        d->knownSenders.insert(toString(member.control()));
        d->dataCentres.insert(member.dataCentre);
        (member.dataCentre == d->options.self.dataCentre ? d->localPeers : d->remotePeers).push_back(member.control());
    }
    std::erase_if(d->targets, [this](const auto &entry) { return !d->members.contains(entry.first); });
}

void LoadExchange::receive(const Endpoint &from, const LoadReport &report, TimePoint now)
{
    if (!d->knownSenders.contains(toString(from)) || report.targets.size() > MaxTargets || report.pools.size() > MaxPools) {
        ++d->dropped;
        return;
    }
    for (const auto &target : report.targets) {
        d->receiveTarget(target, now);
    }
    for (const auto &pool : report.pools) {
        d->receivePool(pool, now);
    }
}

void LoadExchange::Private::receiveTarget(const TargetReport &report, TimePoint now)
{
    if (report.target == options.self.name) {
        return;
    }
    const auto member = members.find(report.target);
    const bool unknown = member == members.end() || member->second.dataCentre != options.self.dataCentre;
    // The load of an earlier incarnation says nothing about a restarted target.
    if (unknown || report.incarnation < member->second.incarnation || !inRange(report.calls, report.limit, report.waitMs)) {
        ++dropped;
        return;
    }
    const auto observed = now - Milliseconds(report.ageMs);
    if (report.ageMs > static_cast<std::uint32_t>(options.maxTargetAge.count())) {
        return;
    }
    auto &known = targets[report.target];
    if (observed <= known.observed) {
        return;
    }
    known = {report, observed};
    options.targetLoadReceived(report.target, {report.calls, report.limit}, Milliseconds(report.waitMs), observed);
}

void LoadExchange::Private::receivePool(const PoolReport &report, TimePoint now)
{
    if (report.dataCentre == options.self.dataCentre) {
        return;
    }
    const bool known = dataCentres.contains(report.dataCentre) && services.contains(report.service);
    if (!known || !inRange(report.calls, report.limit, report.waitMs)) {
        ++dropped;
        return;
    }
    const auto observed = now - Milliseconds(report.ageMs);
    if (report.ageMs > static_cast<std::uint32_t>(options.maxPoolAge.count())) {
        return;
    }
    auto &pool = pools[{report.dataCentre, report.service}];
    if (observed <= pool.observed) {
        return;
    }
    pool = {report, observed};
    options.poolLoadReceived(report, observed);
}

// A target with a concurrency limit of zero isn't reported: membership spreads its state at once,
// and a report would keep calls away from a target that has just become ready.
void LoadExchange::Private::recordLocalLoad(TimePoint now)
{
    const auto localLoad = options.localTargetLoad();
    if (localLoad.load.limit == 0) {
        targets.erase(options.self.name);
        return;
    }
    const auto member = members.find(options.self.name);
    const auto incarnation = member == members.end() ? options.self.incarnation : member->second.incarnation;
    const auto wait = std::clamp<std::int64_t>(localLoad.wait.count(), 0, MaxWaitMs);
    targets[options.self.name] = {{.target = options.self.name,
                                      .incarnation = incarnation,
                                      .calls = localLoad.load.calls,
                                      .limit = localLoad.load.limit,
                                      .waitMs = static_cast<std::uint32_t>(wait)},
        now};
}

void LoadExchange::Private::expireOld(TimePoint now)
{
    std::erase_if(targets, [&](const auto &entry) { return now - entry.second.observed > options.maxTargetAge; });
    std::erase_if(pools, [&](const auto &entry) { return now - entry.second.observed > options.maxPoolAge; });
}

void LoadExchange::Private::sumLocalPools(TimePoint now)
{
    struct Sum
    {
        PoolReport report;
        std::uint64_t waitMs = 0;
        std::uint32_t targets = 0;
        TimePoint oldest = TimePoint::max();
    };
    std::map<ServiceName, Sum> sumsByService;
    for (const auto &[name, known] : targets) {
        const auto member = members.find(name);
        if (member == members.end() || known.report.limit == 0) {
            continue;
        }
        auto &sum = sumsByService[member->second.service];
        sum.report.calls += known.report.calls;
        sum.report.limit += known.report.limit;
        sum.waitMs += known.report.waitMs;
        ++sum.targets;
        sum.oldest = std::min(sum.oldest, known.observed);
    }
    for (auto &[service, sum] : sumsByService) {
        sum.report.dataCentre = options.self.dataCentre;
        sum.report.service = service;
        sum.report.waitMs = static_cast<std::uint32_t>(sum.waitMs / sum.targets);
        pools[{options.self.dataCentre, service}] = {sum.report, now};
        options.poolLoadReceived(sum.report, now);
    }
}

// If a data centre has more targets than fit into a report, each report carries a random selection.
LoadReport LoadExchange::Private::localReport(TimePoint now)
{
    std::vector<const KnownTarget *> others;
    LoadReport report;
    for (const auto &[name, known] : targets) {
        if (name == options.self.name) {
            report.targets.push_back(known.report);
        } else {
            others.push_back(&known);
        }
    }
    std::vector<const KnownTarget *> chosen;
    std::sample(others.begin(), others.end(), std::back_inserter(chosen), MaxTargets - report.targets.size(), random);
    for (const auto *known : chosen) {
        report.targets.push_back(known->report);
        report.targets.back().ageMs = ageMs(known->observed, now);
    }
    for (const auto &[key, known] : pools) {
        if (key.first != options.self.dataCentre && report.pools.size() < MaxPools) {
            report.pools.push_back(known.report);
            report.pools.back().ageMs = ageMs(known.observed, now);
        }
    }
    return report;
}

LoadReport LoadExchange::Private::remoteReport(TimePoint now) const
{
    LoadReport report;
    for (const auto &[key, known] : pools) {
        if (key.first == options.self.dataCentre && report.pools.size() < MaxPools) {
            report.pools.push_back(known.report);
            report.pools.back().ageMs = ageMs(known.observed, now);
        }
    }
    return report;
}

void LoadExchange::tick(TimePoint now)
{
    if (d->options.interval.count() == 0 || now - d->lastReport < d->options.interval) {
        return;
    }
    d->lastReport = now;
    d->expireOld(now);
    d->recordLocalLoad(now);
    d->sumLocalPools(now);
    if (!d->localPeers.empty()) {
        const auto report = d->localReport(now);
        std::vector<Endpoint> peers;
        std::sample(d->localPeers.begin(), d->localPeers.end(), std::back_inserter(peers), d->options.fanOut, d->random);
        for (const auto &peer : peers) {
            d->options.send(peer, report);
        }
    }
    if (!d->remotePeers.empty() && now >= d->nextRemote) {
        // Jittered, so that the members of a data centre don't all report at once.
        std::uniform_int_distribution<std::int64_t> jitter(d->options.remoteInterval.count() / 2, d->options.remoteInterval.count() * 3 / 2);
        d->nextRemote = now + Milliseconds(jitter(d->random));
        std::uniform_int_distribution<std::size_t> index(0, d->remotePeers.size() - 1);
        d->options.send(d->remotePeers[index(d->random)], d->remoteReport(now));
    }
}

}
