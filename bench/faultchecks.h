#pragma once

#include "faultrecords.h"

namespace Galenahill {

// The head of the highest revision that was ever accepted, or null.
const HeadValue *lastHead(const FaultRunRecords &records);

// Each check judges one promise from the records of a run and gives what
// contradicts it. None trusts a process about itself where a caller, a target
// or the store has a record.

// No node serves a revision below one it served, restarts included; a node
// that holds none serves no calls and is left out.
std::vector<Violation> checkRevisionsNeverFall(const FaultRunRecords &records);

// Every call ran only at targets of the service that its route names, and no
// call on a route that was always there was told that there is none.
std::vector<Violation> checkRoutesReachTheirService(const FaultRunRecords &records);

// Whatever a node serves is one of the store's heads, whole.
std::vector<Violation> checkWholeRevisions(const FaultRunRecords &records);

// No answer belongs to another call, and what was answered did run.
std::vector<Violation> checkOwnAnswers(const FaultRunRecords &records);

// What was refused as not run is in no ledger; applies that were refused are
// in no head, and bad files are refused.
std::vector<Violation> checkRefusals(const FaultRunRecords &records);

// Non-idempotent calls ran at most once.
std::vector<Violation> checkRunAtMostOnce(const FaultRunRecords &records);

// A leaving target begins no work after the given time.
std::vector<Violation> checkLeavingTargets(const FaultRunRecords &records, Milliseconds grace);

// No call that a stopping node had in flight ended without an answer, and the
// node exited by itself.
std::vector<Violation> checkPlannedStops(const FaultRunRecords &records);

// Each accepted apply is part of the last head, and every live node serves
// that head from the limit after the last fault on, for good.
std::vector<Violation> checkAcceptedInForce(const FaultRunRecords &records, Milliseconds limit);

// All of the above, with the limits of the brief.
std::vector<Violation> checkAllPromises(const FaultRunRecords &records);

}
