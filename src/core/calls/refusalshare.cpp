#include "core/calls/refusalshare.h"

#include <cmath>

namespace Galenahill {

namespace {

// Time after which a call counts e times less. A node of a fleet of a hundred sees
// some three calls of a route a second; in two seconds that tells a share from
// none, and follows a service that loses or gains targets.
constexpr double MemorySeconds = 2;

// Calls, by their weight, below which their share says nothing.
constexpr double LeastCalls = 3;

}

double RefusalShare::fading(TimePoint now) const
{
    return std::exp(-std::chrono::duration<double>(now - m_at).count() / MemorySeconds);
}

void RefusalShare::add(bool refused, TimePoint now)
{
    const auto faded = m_at == TimePoint() ? 0 : fading(now);
    m_calls = m_calls * faded + 1;
    m_refused = m_refused * faded + (refused ? 1 : 0);
    m_at = now;
}

double RefusalShare::value(TimePoint now) const
{
    return m_at == TimePoint() || m_calls * fading(now) < LeastCalls ? 0 : m_refused / m_calls;
}

}
