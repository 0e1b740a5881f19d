#include "core/calls/attempttimeoutpolicy.h"

#include <algorithm>

namespace Galenahill {

namespace {

using Microseconds = std::chrono::microseconds;

constexpr int AverageFactor = 3;
constexpr int AverageWeight = 16;

// Maximum number of routes whose latency is kept; a configuration may have many more.
constexpr std::size_t MaxRoutes = 1024;

}

void AttemptTimeoutPolicy::record(const RouteName &route, Microseconds time)
{
    if (m_averages.size() >= MaxRoutes && m_averages.count(route) == 0) {
        m_averages.clear();
    }
    auto &average = m_averages.try_emplace(route, time).first->second;
    average += (time - average) / AverageWeight;
}

TimePoint AttemptTimeoutPolicy::attemptDeadline(const RouteName &route, TimePoint now, TimePoint deadline) const
{
    const auto found = m_averages.find(route);
    if (found == m_averages.end()) {
        return deadline;
    }
    const auto half = now + (deadline - now) / 2;
    return std::min(deadline, std::max<TimePoint>(half, now + AverageFactor * found->second));
}

}
