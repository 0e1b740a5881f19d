#pragma once

#include <string>

namespace Galenahill {

// Which decisions a node takes about calls. Operators have no way to change
// them; the benchmarks switch one off at a time to measure what it is worth.
struct CallPolicy
{
    // The less loaded of two targets by what sidecars report; else the next
    // target in turn.
    bool leastLoaded = true;
    // The sidecar bounds the calls that its target runs.
    bool admission = true;
    // The bound follows the target's latency and starts low; else it is the
    // number of slots from the first call on.
    bool adaptive = true;
    // Calls wait a short while for a slot; else they are refused at once.
    bool queue = true;
    // The call that waited least goes first; else the one that waited longest.
    bool newestFirst = false;
    // Targets that fail in a row are ejected.
    bool ejection = true;
    // Retries stay within the budget and leave time for the next attempt; else
    // each failed attempt is repeated whatever the load.
    bool retryBudget = true;
    // A full queue keeps room for routes that use less than their share.
    bool fairShares = true;
    // Waiting calls go by priority and by the time at which they must start to
    // be answered within their objective, and wait only while they can be.
    bool byUrgency = false;

    // The policy with the named decisions reversed, such as
    // "round-robin,no-queue"; unknown names are left out.
    static CallPolicy withoutDecisions(const std::string &names);
};

}
