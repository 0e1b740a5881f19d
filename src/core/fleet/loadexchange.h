#pragma once

#include "core/calls/loadreport.h"
#include "core/calls/targetload.h"
#include "core/fleet/memberrecord.h"

#include <functional>
#include <memory>
#include <vector>

namespace Galenahill {

// Load of the target beside this node, and the expected wait of a further call for a slot.
struct LocalTargetLoad
{
    TargetLoad load;
    Milliseconds wait{0};
};

// Exchanges the load of targets by gossip: the load of each target within its data centre, sums per
// service between data centres. Single-threaded; callers pass the time in, and reports are sent
// through a hook.
class LoadExchange
{
public:
    struct Options
    {
        MemberRecord self;
        std::uint64_t seed = 1;
        // Interval of reports to members of the local data centre, zero to send no reports at all,
        // and the number of members that each report is sent to.
        Milliseconds interval{100};
        std::uint32_t fanOut = 2;
        // Interval of reports to a member of another data centre.
        Milliseconds remoteInterval{1000};
        // Age beyond which the load of a target, or of a pool, is dropped.
        Milliseconds maxTargetAge{1000};
        Milliseconds maxPoolAge{3000};

        std::function<LocalTargetLoad()> localTargetLoad;
        std::function<void(const Endpoint &, const LoadReport &)> send;
        // Called with newer load of a target of the local data centre.
        std::function<void(const NodeName &, TargetLoad, Milliseconds wait, TimePoint observed)> targetLoadReceived;
        // Called with newer load of the targets of a service in a data centre.
        std::function<void(const PoolReport &, TimePoint observed)> poolLoadReceived;
    };

    explicit LoadExchange(Options options);
    ~LoadExchange();

    // Sets the live members. Reports from and about other nodes are dropped.
    void setMembers(const std::vector<MemberRecord> &members);

    // Handles a received report.
    void receive(const Endpoint &from, const LoadReport &report, TimePoint now);

    // Sends the reports that are due; call it at least once per interval.
    void tick(TimePoint now);

    // Number of reports, and of entries in reports, that were dropped: from an unknown sender,
    // about an unknown target or a former incarnation, or with a value out of range.
    std::uint64_t dropped() const;

    // Number of targets whose load is known, and the age of the oldest of these loads.
    std::size_t knownTargets() const;
    Milliseconds oldestTargetAge(TimePoint now) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
