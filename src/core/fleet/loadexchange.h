#pragma once

#include "core/calls/loadreport.h"
#include "core/calls/targetload.h"
#include "core/fleet/memberrecord.h"

#include <functional>
#include <memory>
#include <vector>

namespace Galenahill {

// Load of the target beside this node.
struct OwnLoad
{
    TargetLoad load;
    Milliseconds wait{0};
};

// Spreads the load of targets by gossip: each target's load within its data
// centre, sums by service to the other data centres. Single-threaded; time comes
// in through arguments and reports leave through a hook.
class LoadExchange
{
public:
    struct Options
    {
        MemberRecord self;
        std::uint64_t seed = 1;
        // Time between two reports to members of the own data centre, zero for
        // none at all, and the members that get each.
        Milliseconds interval{100};
        std::uint32_t fanOut = 2;
        // Time between two reports to a member of another data centre.
        Milliseconds remoteInterval{1000};
        // Age at which the load of a target, or of a pool, is forgotten.
        Milliseconds maxTargetAge{1000};
        Milliseconds maxPoolAge{3000};

        std::function<OwnLoad()> ownLoad;
        std::function<void(const Endpoint &, const LoadReport &)> send;
        // A newer load of a target of the own data centre came.
        std::function<void(const NodeName &, TargetLoad, Milliseconds wait, TimePoint observed)> targetLoad;
        // A newer load of a service's targets in a data centre came.
        std::function<void(const PoolReport &, TimePoint observed)> poolLoad;
    };

    explicit LoadExchange(Options options);
    ~LoadExchange();

    // The live members. Reports from and about others are dropped.
    void setMembers(const std::vector<MemberRecord> &members);

    // Takes one report that was received.
    void receive(const Endpoint &from, const LoadReport &report, TimePoint now);

    // Sends what is due; call it at least once an interval.
    void tick(TimePoint now);

    // Reports, and parts of reports, that were dropped: from an unknown sender,
    // about an unknown or former target, or with a value out of range.
    std::uint64_t dropped() const;

    // Targets whose load is known, and the age of the oldest of them.
    std::size_t knownTargets() const;
    Milliseconds oldestTarget(TimePoint now) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
