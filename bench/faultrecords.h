#pragma once

#include "common/identifiers.h"
#include "fleet.h"
#include "loadgenerator.h"

#include <optional>
#include <string>
#include <vector>

namespace Galenahill {

// Records of one run with faults. All times come from the monotonic clock, which the harness and the
// targets share since they run on one machine.

// A node's response to one status request.
struct StatusSample
{
    std::size_t node = 0;
    TimePoint requestedAt;
    TimePoint respondedAt;
    Revision revision;
    ContentHash digest;
};

// A value that the store's head object had, taken from the history that the store keeps.
struct HeadValue
{
    Revision revision;
    ContentHash digest;
    std::vector<ApplyId> applies;
};

// An apply and its result as seen by the operator.
struct ApplyRecord
{
    ApplyId id;
    // Unset if the apply was accepted.
    std::optional<ErrorKind> error;
    // The file is invalid, so the apply must never be accepted.
    bool hasInvalidFile = false;
    TimePoint endedAt;
};

// A fault that was injected, or a planned stop, which callers must not notice.
struct FaultRecord
{
    std::string kind;
    std::vector<std::size_t> nodes;
    TimePoint begin;
    TimePoint end;
    // False if a process that was asked to stop didn't exit with code 0 in time.
    bool exitedCleanly = true;
};

// A guarantee that was broken, and a description of the record that shows it.
struct Violation
{
    std::string guarantee;
    std::string description;
    TimePoint when;
};

struct FaultRunRecords
{
    TimePoint begin;
    std::vector<StatusSample> samples;
    std::vector<LedgerEntry> ledger;
    std::vector<HeadValue> heads;
    std::vector<ApplyRecord> applies;
    std::vector<FaultRecord> faults;
    std::vector<CallRecord> calls;
    // Service of each node's target.
    std::vector<std::string> services;
    // Nodes whose process ran at the end.
    std::vector<std::size_t> runningNodes;
};

// Kinds of planned stops, during which no call in flight may be interrupted.
inline constexpr const char *NodeStopFault = "node-stop";
inline constexpr const char *TargetDrainFault = "target-drain";

}
