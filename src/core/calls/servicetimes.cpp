#include "core/calls/servicetimes.h"

#include <utility>

namespace Galenahill {

namespace {

using Microseconds = std::chrono::microseconds;

// Weight divisor of one call in the average: follows a target that becomes slow within about ten
// calls, and is not distorted by one call that takes three times as long.
constexpr int Weight = 8;

// Maximum number of routes whose latency is kept; a configuration may have many more.
constexpr std::size_t MaxRoutes = 256;

void updateAverage(Microseconds &average, Microseconds time)
{
    average += (time - average) / Weight;
}

}

ServiceTimes::Times &ServiceTimes::timesOf(const RouteName &route)
{
    if (m_routes.size() >= MaxRoutes && m_routes.count(route) == 0) {
        m_routes.clear();
    }
    return m_routes[route];
}

void ServiceTimes::record(const RouteName &route, Microseconds time)
{
    for (auto *times : {&timesOf(route), &m_all}) {
        if (std::exchange(times->hasSample, true)) {
            updateAverage(times->average, time);
        } else {
            times->average = time;
        }
    }
}

void ServiceTimes::assume(const RouteName &route, Microseconds time)
{
    for (auto *times : {&timesOf(route), &m_all}) {
        if (!times->hasSample) {
            if (times->average.count() == 0) {
                times->average = time;
            }
            updateAverage(times->average, time);
        }
    }
}

Microseconds ServiceTimes::average(const RouteName &route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() || found->second.average.count() == 0 ? m_all.average : found->second.average;
}

Microseconds ServiceTimes::average() const
{
    return m_all.average;
}

void ServiceTimes::clear()
{
    m_routes.clear();
    m_all = Times();
}

}
