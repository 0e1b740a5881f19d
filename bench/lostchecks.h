#pragma once

#include "loadgenerator.h"
#include "platformfleet.h"

#include <map>
#include <string>
#include <vector>

namespace Galenahill {

// Planned work, in which nodes must not lose calls. A configuration has no node; its span is that
// from sending it to its acknowledgement. A signal has only a begin.
struct PlannedWork
{
    enum class Kind {
        Stop,
        Reload,
        Configuration,
    };

    Kind kind = Kind::Stop;
    std::size_t node = 0;
    TimePoint begin;
    TimePoint end;
};

struct TimeSpan
{
    TimePoint begin;
    TimePoint end;
};

// What callers, targets and the harness recorded of one run.
struct LostRecords
{
    std::vector<TargetHistory> targets;
    std::vector<CallRecord> calls;
    std::vector<PlannedWork> planned;
    // Faults of nodes, targets, the store and connections.
    std::vector<TimeSpan> unplanned;
    // Least timeout that any revision stated for the route of a call, by the call's path. Without an
    // entry, the route has none.
    std::map<std::string, Milliseconds> routeTimeouts;
};

struct LostCalls
{
    // Descriptions of the calls lost around planned work.
    std::vector<std::string> aroundPlannedWork;
    // Descriptions of large responses that a target had produced, and that did not arrive though the
    // caller was waiting, without planned work; or in whose place a node sent its own 502 or 504.
    std::vector<std::string> largeResponses;
    // Own 502 and 504 before the deadline for calls that a target was running or had run.
    std::size_t ownAnswers = 0;
};

// Finds calls that were lost, as the users judge it. Around planned work a call must not end by a closed
// connection once it has been passed on to a target or later than 0.2 s after it was sent, and
// after a SIGTERM a node must not answer in the place of a target that is at work. Excused are calls
// that their target broke off, whose deadline or route timeout was reached, at which the target was
// still at work in the last sixth of the stop timeout, or with unplanned disruption since shortly before.
LostCalls lostCalls(const LostRecords &records);

}
