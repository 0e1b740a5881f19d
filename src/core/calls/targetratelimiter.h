#pragma once

#include "common/tokenbucket.h"
#include "core/calls/statedratelimit.h"

#include <cstdint>

namespace Galenahill {

// Limits the rate of calls to a target to the limit that the target states. Without a stated limit,
// all calls are allowed. Callers pass the time in.
class TargetRateLimiter
{
public:
    // Processes what a response states: a limit, or none. The request was sent at `sentAt`.
    StatedRateLimit::Change update(std::optional<CallsPerSecond> stated, TimePoint sentAt, TimePoint now);

    // Forgets the limit, for a newly started target.
    void reset(TimePoint now);

    // Takes the permission for one call; false if the limit allows none now.
    bool tryAcquire(TimePoint now);

    // Returns the permission of a call that was not sent.
    void release(TimePoint now);

    // Number of calls that the limit allows at once, at most `max`.
    std::uint32_t available(std::uint32_t max, TimePoint now) const;

    // Time until the limit allows that many calls; zero without a limit.
    std::chrono::microseconds timeUntil(std::size_t calls, TimePoint now) const;

    // Average time between two calls at the limit; zero without a limit.
    std::chrono::microseconds interval() const;

    // The limit in force; empty if there is none.
    std::optional<CallsPerSecond> limit() const;

    // Time since a response last stated what is in force.
    Milliseconds age(TimePoint now) const;

private:
    StatedRateLimit m_stated;
    // Without a limit the bucket stays empty.
    TokenBucket m_bucket{{.tokensPerSecond = 0, .capacity = 0}, TimePoint()};
};

}
