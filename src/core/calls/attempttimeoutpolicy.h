#pragma once

#include "common/identifiers.h"

#include <unordered_map>

namespace Galenahill {

// Chooses how long to wait for one attempt of a call that may be retried. Waiting for the whole
// timeout would leave no time to try another target, so the caller of a paused one would get nothing.
class AttemptTimeoutPolicy
{
public:
    // An attempt got a response, or was cancelled, after that time.
    void record(const RouteName &route, std::chrono::microseconds time);

    // Half of the remaining time, but at least a multiple of the route's average latency: on a route
    // whose calls need most of their timeout, every attempt would otherwise be cancelled and retried.
    TimePoint attemptDeadline(const RouteName &route, TimePoint now, TimePoint deadline) const;

private:
    std::unordered_map<RouteName, std::chrono::microseconds> m_averages;
};

}
