#pragma once

#include <string>

namespace Galenahill {

// Features of the routing and admission of calls. Operators cannot change them; the benchmarks
// switch one off at a time to measure its effect.
struct CallPolicy
{
    // Picks the less loaded of two targets, by the load that sidecars report; otherwise round-robin.
    bool leastLoaded = true;
    // The sidecar limits the concurrent calls of its target.
    bool admission = true;
    // The concurrency limit starts low and follows the target's latency; otherwise it is the number
    // of slots from the first call on.
    bool adaptive = true;
    // Calls queue for a slot for a short time; otherwise they are rejected at once.
    bool queue = true;
    // The queue is last in, first out; otherwise first in, first out.
    bool newestFirst = false;
    // Targets with consecutive failures are ejected.
    bool ejection = true;
    // Retries stay within the budget and leave time for the next attempt; otherwise each failed
    // attempt is retried regardless of load.
    bool retryBudget = true;
    // A full queue keeps places for routes that use less than their fair share.
    bool fairShares = true;
    // Queued calls are ordered by priority, then by the latest time at which they can start and still
    // meet their objective, and wait only as long as they can meet it.
    bool byUrgency = false;
    // Queued calls of customers above their fair share of the target go behind those of the same
    // priority; only if ordered by urgency.
    bool customerShares = true;

    // The default policy with the named features toggled, such as "round-robin,no-queue"; unknown
    // names are ignored.
    static CallPolicy withToggled(const std::string &names);
};

}
