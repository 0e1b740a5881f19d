#include "core/calls/retryafter.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Minimum delay: several slots are freed meanwhile, and the caller can still meet its objective.
constexpr Milliseconds MinDelay{40};

// At most one third of the caller's remaining time: callers honour no longer delay and retry
// earlier on their own.
constexpr int MaxWaitDivisor = 3;

// The jitter adds up to this fraction of the wait.
constexpr double Jitter = 0.5;

}

RetryAfter::RetryAfter(std::uint64_t seed)
    : m_random(seed)
{
}

Milliseconds RetryAfter::delay(Milliseconds reportedWait, Milliseconds timeLeft)
{
    const auto minimum = static_cast<double>(std::max(reportedWait, MinDelay).count());
    const auto factor = std::uniform_real_distribution<double>(1.0, 1.0 + Jitter)(m_random);
    const Milliseconds jittered(static_cast<std::int64_t>(minimum * factor));
    return std::min(jittered, std::max(timeLeft / MaxWaitDivisor, Milliseconds(1)));
}

}
