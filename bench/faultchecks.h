#pragma once

#include "faultrecords.h"

namespace Galenahill {

// Returns the head of the highest revision that was ever accepted, or null.
const HeadValue *highestHead(const FaultRunRecords &records);

// Each check verifies one guarantee against the records of a run and returns the violations. Where
// a caller, a target or the store has recorded an event, the check uses that record instead of what
// a node reports about itself.

// No node serves a lower revision than it served before, also after a restart. Samples of nodes
// without a revision are skipped, since such a node accepts no calls.
std::vector<Violation> checkRevisionsNeverFall(const FaultRunRecords &records);

// Each call ran only at targets of the service that its route names. The routes that are called
// exist in every revision, so no call is rejected for lack of a route.
std::vector<Violation> checkRoutesReachTheirService(const FaultRunRecords &records);

// Each revision that a node serves is, with its digest, one of the heads that the store had.
std::vector<Violation> checkRevisionsComplete(const FaultRunRecords &records);

// No caller got the response to another call, and each call with a response ran at a target.
std::vector<Violation> checkResponsesMatchCalls(const FaultRunRecords &records);

// Calls that were rejected as not run are in no target's ledger, rejected applies are part of no
// head, and invalid files are rejected.
std::vector<Violation> checkRejections(const FaultRunRecords &records);

// Non-idempotent calls ran at most once.
std::vector<Violation> checkRunAtMostOnce(const FaultRunRecords &records);

// A target that is draining or stopping starts no call after the grace period.
std::vector<Violation> checkLeavingTargets(const FaultRunRecords &records, Milliseconds grace);

// During a planned stop, each call in flight gets a response, and the process exits by itself with
// code 0 in time.
std::vector<Violation> checkPlannedStops(const FaultRunRecords &records);

// Each accepted apply is part of the last head. Once the limit has passed after the last fault and
// the last apply, every running node serves that head until the end of the run.
std::vector<Violation> checkAcceptedInForce(const FaultRunRecords &records, Milliseconds limit);

// Runs all checks above with the time limits that the system guarantees.
std::vector<Violation> checkAllGuarantees(const FaultRunRecords &records);

}
