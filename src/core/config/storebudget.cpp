#include "core/config/storebudget.h"

#include <algorithm>
#include <cmath>

namespace Galenahill {

StoreBudget::StoreBudget(Options options)
    : m_options(options)
    , m_random(options.seed)
    , m_tokens(options.burst)
{
}

// The store handles about two thousand reads a second from the whole fleet. A node in a loop (a
// watch that returns immediately, a contact list that never settles) could use all of them, so each
// node is limited separately, whatever the cause.
Milliseconds StoreBudget::reserve(TimePoint now)
{
    const auto elapsed = m_lastRefill == TimePoint() ? 0.0 : std::chrono::duration<double>(now - m_lastRefill).count();
    m_tokens = std::min(m_options.burst, m_tokens + std::max(0.0, elapsed) * m_options.callsPerSecond);
    m_lastRefill = std::max(m_lastRefill, now);
    m_tokens -= 1;
    const auto missing = std::max(0.0, -m_tokens) / m_options.callsPerSecond;
    return Milliseconds(static_cast<std::int64_t>(std::ceil(1000 * missing)));
}

// Exponential backoff with jitter: after an outage the whole fleet is waiting, and synchronised
// retries would take the store down again.
Milliseconds StoreBudget::failed()
{
    m_backoff = std::clamp(m_backoff * 2, m_options.initialBackoff, m_options.maxBackoff);
    return m_backoff / 4 + jitter(m_backoff * 3 / 4);
}

void StoreBudget::succeeded()
{
    m_backoff = Milliseconds(0);
}

Milliseconds StoreBudget::jitter(Milliseconds max)
{
    return Milliseconds(std::uniform_int_distribution<std::int64_t>(0, max.count())(m_random));
}

}
