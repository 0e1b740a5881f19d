#pragma once

#include "fleet.h"
#include "loadgenerator.h"

#include <vector>

namespace Galenahill {

// Result of comparing the callers' records with the ledgers of all targets.
struct Reconciliation
{
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::size_t mismatched = 0;
    // Non-idempotent calls that ran more than once.
    std::size_t runTwice = 0;
    // Calls that were rejected as not run, but ran.
    std::size_t refusedButRun = 0;
    // Calls with a successful response that no target ran.
    std::size_t answeredButNotRun = 0;

    bool isConsistent() const
    {
        return mismatched == 0 && runTwice == 0 && refusedButRun == 0 && answeredButNotRun == 0;
    }
};

// Reads the ledgers of the fleet's running targets and compares them with the callers' records.
Reconciliation reconcile(const Fleet &fleet, const std::vector<CallRecord> &records);

}
