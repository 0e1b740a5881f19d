#include "common/tokenbucket.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Longest time that is returned; leaves room for additions without an overflow.
constexpr std::chrono::microseconds MaxTime = std::chrono::hours(24);

}

TokenBucket::TokenBucket(Options options, TimePoint now)
    : m_options(options)
    , m_tokens(options.initialTokens)
    , m_refilled(now)
{
}

void TokenBucket::refill(TimePoint now)
{
    m_tokens = tokens(now);
    m_refilled = std::max(m_refilled, now);
}

void TokenBucket::setRate(double tokensPerSecond, double capacity, TimePoint now)
{
    refill(now);
    m_options.tokensPerSecond = tokensPerSecond;
    m_options.capacity = capacity;
    m_tokens = std::min(m_tokens, capacity);
}

bool TokenBucket::tryTake(TimePoint now)
{
    refill(now);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void TokenBucket::giveBack(TimePoint now)
{
    refill(now);
    m_tokens = std::min(m_options.capacity, m_tokens + 1);
}

double TokenBucket::tokens(TimePoint now) const
{
    const auto elapsed = std::max(0.0, std::chrono::duration<double>(now - m_refilled).count());
    return std::min(m_options.capacity, m_tokens + elapsed * m_options.tokensPerSecond);
}

std::chrono::microseconds TokenBucket::timeUntil(double tokens, TimePoint now) const
{
    return fillTime(std::max(0.0, tokens - this->tokens(now)));
}

std::chrono::microseconds TokenBucket::interval() const
{
    return fillTime(1);
}

std::chrono::microseconds TokenBucket::fillTime(double tokens) const
{
    if (tokens == 0) {
        return std::chrono::microseconds(0);
    }
    const std::chrono::duration<double> time(tokens / m_options.tokensPerSecond);
    return time >= MaxTime ? MaxTime : std::chrono::ceil<std::chrono::microseconds>(time);
}

}
