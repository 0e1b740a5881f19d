#pragma once

#include "core/calls/callpolicy.h"
#include "core/calls/targetload.h"
#include "core/fleet/memberrecord.h"

#include <boost/container/small_vector.hpp>
#include <cstdint>
#include <random>
#include <unordered_map>
#include <vector>

namespace Galenahill {

// Chooses the target of a call: the less loaded of two random ones, in the
// own data centre while it has room, and never one that fails in a row while
// half of the service is better.
class TargetPicker
{
public:
    struct Options
    {
        DataCentre dataCentre;
        std::uint64_t seed = 1;
        CallPolicy policy;
        // Back-off of a target that takes no calls.
        Milliseconds backOffTime{200};
        // Age at which a reported load is no longer believed.
        Milliseconds loadAge{500};
        // Age at which the load of a service's targets in one data centre is no
        // longer believed.
        Milliseconds poolAge{3000};
        // Longer wait that is taken rather than crossing to another data
        // centre, whose bytes are paid for; several times the way there.
        Milliseconds crossing{15};
        // Waits closer than the reporting delay are considered equal, and the
        // load decides.
        Milliseconds sameWait{2};
        // Share of free slots from which another data centre has room for calls that
        // the own one can't take.
        double overflowRoom = 0.05;
        // Targets in the own data centre, and in the others together, that are
        // compared for one call. All ingresses know much the same, so the least
        // loaded of all would get the calls of all.
        std::size_t compared = 4;
        // Failures in a row before a target is ejected, and for how long the
        // first time and at the most. More in a row where the whole service
        // fails that often.
        std::uint32_t failuresToEject = 3;
        Milliseconds ejectTime{500};
        Milliseconds maxEjectTime{4000};
    };

    explicit TargetPicker(Options options);

    // The chosen target, or null if none is left. Tried ones aren't chosen
    // again. With `onlyWithRoom`, targets that reported to be full aren't
    // chosen either.
    const MemberRecord *pick(const std::vector<MemberRecord> &targets, const std::vector<NodeName> &tried, TimePoint now, bool onlyWithRoom = false);

    // The target at which a call that may wait should wait: the shortest told
    // wait, with that much more counted for another data centre. Null if none
    // is left.
    const MemberRecord *selectForQueueing(const std::vector<MemberRecord> &targets, const std::vector<NodeName> &tried, TimePoint now);

    // A target in another data centre that is known to have free slots of the
    // service; the more free slots, the likelier it is chosen. Null if there is
    // none.
    const MemberRecord *pickOverflow(const std::vector<MemberRecord> &targets, const std::vector<NodeName> &tried, TimePoint now);

    // Whether another target than those tried has a free slot by
    // the last that it told, however old.
    bool roomElsewhere(const std::vector<MemberRecord> &targets, const std::vector<NodeName> &tried, TimePoint now);

    // Whether the target isn't known to have all its slots taken.
    bool mayHaveFreeSlot(const NodeName &target, TimePoint now);

    // The target's sidecar told how long a further call would wait for a slot.
    void updateExpectedWait(const NodeName &target, Milliseconds wait, TimePoint now);

    // The target had that load, and a further call would have waited so long, at
    // the time of observation. Ignored if something later is known.
    void loadObserved(const NodeName &target, TargetLoad load, Milliseconds wait, TimePoint observed);

    // The targets of a service in one data centre had that load together, and a
    // call waited so long there on average, at the time of observation.
    void poolObserved(const DataCentre &dataCentre, const ServiceName &service, TargetLoad load, Milliseconds wait, TimePoint observed);

    // A call to the target began or ended.
    void begin(const NodeName &target, TimePoint now);
    void end(const NodeName &target);

    // The target's sidecar reported its load.
    void reported(const NodeName &target, TargetLoad load, TimePoint now);

    // A call to the target was answered; it failed or wasn't answered; or the
    // target can't be reached.
    void succeeded(const ServiceName &service, const NodeName &target);
    void failed(const ServiceName &service, const NodeName &target, TimePoint now);
    void backOff(const NodeName &target, TimePoint now);

private:
    struct State
    {
        std::uint32_t inFlight = 0;
        TargetLoad load;
        // Own calls begun since the report.
        std::uint32_t begunSince = 0;
        TimePoint lastBegun;
        TimePoint reportedAt;
        // Reported wait for a slot, and the time between two slots that come free.
        Milliseconds wait{0};
        TimePoint waitReportedAt;
        Milliseconds interval{0};
        TimePoint backOffUntil;
        TimePoint ejectedUntil;
        std::uint32_t failures = 0;
        std::uint32_t ejections = 0;
    };

    // Few enough in most fleets to need no allocation.
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
    Candidates sampled(const Candidates &candidates);
    bool fresh(const State &state, TimePoint now) const;
    bool hasRoom(const State &state, TimePoint now) const;
    double score(const State &state, TimePoint now) const;
    Candidates usable(const std::vector<MemberRecord> &targets, const std::vector<NodeName> &tried, TimePoint now);
    const MemberRecord *lessLoaded(const Candidates &candidates, TimePoint now);

    Options m_options;
    std::mt19937_64 m_random;
    std::size_t m_turn = 0;
    std::unordered_map<NodeName, State> m_states;
    std::unordered_map<ServiceName, std::unordered_map<DataCentre, Pool>> m_pools;
    // Share of the attempts at each service that failed of late.
    std::unordered_map<ServiceName, double> m_failing;
};

}
