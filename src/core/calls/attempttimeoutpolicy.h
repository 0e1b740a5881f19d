#pragma once

#include "common/identifiers.h"

#include <unordered_map>

namespace Galenahill {

// Chooses how long to wait for one attempt of a call that may be retried before it is offered to another
// target as well. Waiting for the whole timeout would leave no time for that, so the caller of a paused
// target would get nothing.
class AttemptTimeoutPolicy
{
public:
    // An attempt got a response, or was cancelled, after that time.
    void record(const RouteName &route, std::chrono::microseconds time);

    // Half of the remaining time, but at least a multiple of the route's average latency: on a route
    // whose calls need most of their timeout, every attempt would otherwise be made twice.
    TimePoint attemptDeadline(const RouteName &route, TimePoint now, TimePoint deadline) const;

private:
    std::unordered_map<RouteName, std::chrono::microseconds> m_averages;
};

}
