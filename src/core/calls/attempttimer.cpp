#include "core/calls/attempttimer.h"

#include <algorithm>

namespace Galenahill {

namespace {

using Microseconds = std::chrono::microseconds;

constexpr int UsualFactor = 3;
constexpr int Weight = 16;

// Routes whose times are kept; a configuration may have many more.
constexpr std::size_t MaxRoutes = 1024;

}

void AttemptTimer::observed(const RouteName &route, Microseconds time)
{
    if (m_usual.size() >= MaxRoutes && m_usual.count(route) == 0) {
        m_usual.clear();
    }
    auto &usual = m_usual.try_emplace(route, time).first->second;
    usual += (time - usual) / Weight;
}

TimePoint AttemptTimer::attemptDeadline(const RouteName &route, TimePoint now, TimePoint deadline) const
{
    const auto found = m_usual.find(route);
    if (found == m_usual.end()) {
        return deadline;
    }
    const auto half = now + (deadline - now) / 2;
    return std::min(deadline, std::max<TimePoint>(half, now + UsualFactor * found->second));
}

}
