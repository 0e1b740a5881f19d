#pragma once

#include "common/identifiers.h"
#include "fleet.h"
#include "loadgenerator.h"

#include <optional>
#include <string>
#include <vector>

namespace Galenahill {

// What was seen during one run with faults. Every time is from the harness's
// or a target's steady clock, which all processes of one machine share.

// One answer of a node's status, asked for from outside.
struct StatusSample
{
    std::size_t node = 0;
    TimePoint asked;
    TimePoint answered;
    Revision revision;
    ContentHash digest;
};

// One value that the store's head object had, from the store's own history.
struct HeadValue
{
    Revision revision;
    ContentHash digest;
    std::vector<ApplyId> applies;
};

// One apply as its operator saw it.
struct ApplyRecord
{
    ApplyId id;
    // Nothing if it was accepted.
    std::optional<ErrorKind> error;
    // The file breaks the configuration, so it must never be accepted.
    bool bad = false;
    TimePoint ended;
};

// A fault that was played, or a planned stop, which is none for the callers.
struct FaultRecord
{
    std::string kind;
    std::vector<std::size_t> nodes;
    TimePoint begin;
    TimePoint end;
    // False if a process that was asked to stop didn't exit with 0 in time.
    bool clean = true;
};

// A promise that didn't hold, with the record that shows it.
struct Violation
{
    std::string promise;
    std::string record;
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
    // Nodes that lived at the end.
    std::vector<std::size_t> live;
};

// Kinds that end processes as planned, so nothing may be cut off.
inline constexpr const char *NodeStopFault = "node-stop";
inline constexpr const char *TargetDrainFault = "target-drain";

}
