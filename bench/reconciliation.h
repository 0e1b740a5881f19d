#pragma once

#include "fleet.h"
#include "loadgenerator.h"

#include <vector>

namespace Galenahill {

// The callers' records held against the ledgers of all targets.
struct Reconciliation
{
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::size_t crossed = 0;
    // Non-idempotent calls that ran more than once.
    std::size_t runTwice = 0;
    // Calls said not to have run that did.
    std::size_t refusedButRun = 0;
    // Calls answered as done that no target ran.
    std::size_t lost = 0;

    bool holds() const
    {
        return crossed == 0 && runTwice == 0 && refusedButRun == 0 && lost == 0;
    }
};

// Reads the ledgers of the fleet's running targets and compares.
Reconciliation reconcile(const Fleet &fleet, const std::vector<CallRecord> &records);

}
