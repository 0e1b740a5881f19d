#include "core/calls/targetratelimiter.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Burst that a limit allows: some calls, and the calls of this time. Calls arrive irregularly; a
// smaller burst would leave a part of the limit unused.
constexpr double BurstCalls = 4;
constexpr double BurstSeconds = 0.25;

double burstOf(CallsPerSecond limit)
{
    return limit.value() == 0 ? 0 : BurstCalls + BurstSeconds * limit.value();
}

}

StatedRateLimit::Change TargetRateLimiter::update(std::optional<CallsPerSecond> stated, TimePoint sentAt, TimePoint now)
{
    const auto change = m_stated.update(stated, sentAt, now);
    if (change != StatedRateLimit::Change::None) {
        const auto limit = m_stated.limit();
        m_bucket.setRate(limit ? limit->value() : 0, limit ? burstOf(*limit) : 0, now);
    }
    return change;
}

void TargetRateLimiter::reset(TimePoint now)
{
    m_stated.reset(now);
    m_bucket.setRate(0, 0, now);
}

bool TargetRateLimiter::tryAcquire(TimePoint now)
{
    return !m_stated.limit() || m_bucket.tryTake(now);
}

void TargetRateLimiter::release(TimePoint now)
{
    m_bucket.giveBack(now);
}

std::uint32_t TargetRateLimiter::available(std::uint32_t max, TimePoint now) const
{
    return m_stated.limit() ? static_cast<std::uint32_t>(std::min<double>(max, m_bucket.tokens(now))) : max;
}

std::chrono::microseconds TargetRateLimiter::timeUntil(std::size_t calls, TimePoint now) const
{
    return m_stated.limit() ? m_bucket.timeUntil(static_cast<double>(calls), now) : std::chrono::microseconds(0);
}

std::chrono::microseconds TargetRateLimiter::interval() const
{
    return m_stated.limit() ? m_bucket.interval() : std::chrono::microseconds(0);
}

std::optional<CallsPerSecond> TargetRateLimiter::limit() const
{
    return m_stated.limit();
}

Milliseconds TargetRateLimiter::age(TimePoint now) const
{
    return std::chrono::duration_cast<Milliseconds>(now - m_stated.confirmedAt());
}

}
