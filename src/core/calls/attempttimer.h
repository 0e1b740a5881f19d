#pragma once

#include "common/identifiers.h"

#include <unordered_map>

namespace Galenahill {

// Decides how long one attempt of a call that may be repeated is waited for.
// Waiting for the whole timeout would leave no time to ask another target,
// and the caller of a frozen one would get nothing.
class AttemptTimer
{
public:
    // An attempt was answered, or given up, after that time.
    void observed(const RouteName &route, std::chrono::microseconds time);

    // Half of the time left, but not less than a multiple of what calls of
    // the route take: a route whose calls need most of their timeout would
    // else have every attempt cut and repeated.
    TimePoint attemptDeadline(const RouteName &route, TimePoint now, TimePoint deadline) const;

private:
    std::unordered_map<RouteName, std::chrono::microseconds> m_usual;
};

}
