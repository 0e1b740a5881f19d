#pragma once

#include "core/calls/callpolicy.h"
#include "core/calls/targetload.h"
#include "core/fleet/memberrecord.h"

#include <boost/container/small_vector.hpp>
#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace Galenahill {

// Picks the target of a call: the less loaded of two random ones, from the local data centre while
// it has free slots, and no target that was ejected for consecutive failures unless more than half
// of the service is.
class TargetPicker
{
public:
    struct Options
    {
        DataCentre dataCentre;
        std::uint64_t seed = 1;
        CallPolicy policy;
        // Time for which a target that accepts no calls is avoided.
        Milliseconds backOffTime{200};
        // Age from which a reported load is ignored.
        Milliseconds maxLoadAge{500};
        // Age from which the load of a pool, a service's targets in one data centre, is ignored.
        Milliseconds maxPoolAge{3000};
        // Additional wait that is accepted locally before a call goes to a remote data centre, whose
        // traffic is paid for; several times the network latency to it.
        Milliseconds remotePenalty{15};
        // Waits that differ by less than the reporting delay count as equal, and the load decides.
        Milliseconds waitTolerance{2};
        // Fraction of free slots from which a remote data centre accepts calls that the local one cannot take.
        double minOverflowHeadroom = 0.05;
        // Targets of the local data centre, and of all remote ones together, that are compared for one
        // call. All ingresses have similar reports: if they compared all targets, the least loaded one
        // would get the calls of all of them.
        std::size_t sampleSize = 4;
        // Consecutive failures before a target is ejected, and the first and the longest ejection time.
        // It takes more failures where the whole service often fails.
        std::uint32_t failuresToEject = 3;
        Milliseconds ejectionTime{500};
        Milliseconds maxEjectionTime{4000};
    };

    explicit TargetPicker(Options options);

    // The picked target, or null if none is left. Targets in `tried` are not picked again. With
    // `onlyWithFreeSlot`, targets that reported to be full are not picked either.
    const MemberRecord *pick(const std::vector<MemberRecord> &targets, const std::vector<NodeName> &tried, TimePoint now, bool onlyWithFreeSlot = false);

    // The target at which a call that may wait should queue: the one with the shortest reported wait,
    // where a remote data centre counts as `remotePenalty` more. Null if none is left.
    const MemberRecord *selectForQueueing(const std::vector<MemberRecord> &targets, const std::vector<NodeName> &tried, TimePoint now);

    // A target in a remote data centre whose targets of the service are known to have free slots,
    // weighted by their fraction of free slots. Null if there is none.
    const MemberRecord *pickOverflow(const std::vector<MemberRecord> &targets, const std::vector<NodeName> &tried, TimePoint now);

    // Expected wait for a slot at these targets: the lowest mean of a data centre, with the penalty for a
    // remote one. Empty if no report about any of them is recent.
    std::optional<Milliseconds> backlog(const std::vector<MemberRecord> &targets, TimePoint now) const;

    // The shortest expected wait at any of these targets; empty if a wait is unknown and no wait
    // before it is zero.
    std::optional<Milliseconds> shortestWait(const std::vector<MemberRecord> &targets, TimePoint now) const;

    // Whether the target may have a free slot: no recent report says that it is full.
    bool mayHaveFreeSlot(const NodeName &target, TimePoint now);

    // The target's sidecar reported how long a further call would wait for a slot.
    void updateExpectedWait(const NodeName &target, Milliseconds wait, TimePoint now);

    // Load of a target and expected wait of a further call at the time of observation. Ignored if
    // later values are known.
    void updateTargetLoad(const NodeName &target, TargetLoad load, Milliseconds wait, TimePoint observed);

    // Total load of a service's targets in one data centre, and the mean wait there, at the time of
    // observation.
    void updatePoolLoad(const DataCentre &dataCentre, const ServiceName &service, TargetLoad load, Milliseconds wait, TimePoint observed);

    // A call to the target started or ended.
    void addInFlight(const NodeName &target, TimePoint now);
    void removeInFlight(const NodeName &target);

    // The target's sidecar reported its load.
    void updateReportedLoad(const NodeName &target, TargetLoad load, TimePoint now);

    // A call to the target succeeded; it failed or got no response; or the target is unreachable.
    void attemptSucceeded(const ServiceName &service, const NodeName &target);
    void attemptFailed(const ServiceName &service, const NodeName &target, TimePoint now);
    void backOff(const NodeName &target, TimePoint now);

private:
    struct State
    {
        std::uint32_t inFlight = 0;
        TargetLoad load;
        // Calls of this node to the target since the last report.
        std::uint32_t startedSinceReport = 0;
        TimePoint lastStarted;
        TimePoint reportedAt;
        // Reported wait for a slot, and the mean time between two slots that are freed.
        Milliseconds wait{0};
        TimePoint waitReportedAt;
        Milliseconds interval{0};
        TimePoint backOffUntil;
        TimePoint ejectedUntil;
        std::uint32_t failures = 0;
        std::uint32_t ejections = 0;
    };

    // Fits the targets of most services without an allocation.
    using Candidates = boost::container::small_vector<const MemberRecord *, 16>;

    struct Pool
    {
        TargetLoad load;
        Milliseconds wait{0};
        TimePoint observed;
    };

    std::uint32_t failuresToEject(const ServiceName &service) const;
    const Pool *pool(const MemberRecord &target, TimePoint now) const;
    Clock::duration poolWait(const MemberRecord &target, TimePoint now) const;
    Clock::duration expectedWait(const MemberRecord &target, const State &state, TimePoint now) const;
    std::optional<Clock::duration> knownWait(const MemberRecord &target, TimePoint now) const;
    Candidates sample(const Candidates &candidates);
    bool isFresh(const State &state, TimePoint now) const;
    bool mayHaveCapacity(const State &state, TimePoint now) const;
    double loadScore(const State &state, TimePoint now) const;
    Candidates usable(const std::vector<MemberRecord> &targets, const std::vector<NodeName> &tried, TimePoint now);
    const MemberRecord *lessLoaded(const Candidates &candidates, TimePoint now);

    Options m_options;
    std::mt19937_64 m_random;
    std::size_t m_nextIndex = 0;
    std::unordered_map<NodeName, State> m_states;
    std::unordered_map<ServiceName, std::unordered_map<DataCentre, Pool>> m_pools;
    // Recent fraction of failed attempts by service.
    std::unordered_map<ServiceName, double> m_failureRates;
};

}
