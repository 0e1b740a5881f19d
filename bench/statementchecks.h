#pragma once

#include "loadgenerator.h"
#include "platformfleet.h"

#include <string>
#include <vector>

namespace Galenahill {

// A time in which a node was killed, stopped or paused, or did not reach others.
struct NodeDisruption
{
    std::size_t node = 0;
    TimePoint begin;
    TimePoint end;
};

// What callers and targets recorded of one run.
struct StatementRecords
{
    std::vector<TargetHistory> targets;
    std::vector<CallRecord> calls;
    std::vector<NodeDisruption> disruptions;
};

// Checks that targets get no more calls than the rate limits that they state, as the users judge it:
// from some time after a target first stated a limit, it gets in no window more than one and a half
// times what that allows plus a few calls. Only calls of nodes that have passed on a response with
// the limit count; a node's disruption excuses it until it passes on another one. Returns a
// description of each violation.
std::vector<std::string> rateLimitViolations(const StatementRecords &records);

// Checks that no call that was sent later than the drain time after its node had passed on a
// response stating that a target is leaving reaches that target. A disruption of the node in between
// excuses it. Returns a description of each violation.
std::vector<std::string> leavingViolations(const StatementRecords &records);

}
