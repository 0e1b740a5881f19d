#include "core/calls/servicetimes.h"

#include <utility>

namespace Galenahill {

namespace {

using Microseconds = std::chrono::microseconds;

// Weight of one call in the average: follows a target that turns slow within
// about ten calls, and isn't thrown off by one that takes three times as long.
constexpr int Weight = 8;

// Routes whose times are kept; a configuration may have many more.
constexpr std::size_t MaxRoutes = 256;

void follow(Microseconds &average, Microseconds time)
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

void ServiceTimes::observed(const RouteName &route, Microseconds time)
{
    for (auto *times : {&timesOf(route), &m_all}) {
        if (std::exchange(times->observed, true)) {
            follow(times->usual, time);
        } else {
            times->usual = time;
        }
    }
}

void ServiceTimes::suppose(const RouteName &route, Microseconds time)
{
    for (auto *times : {&timesOf(route), &m_all}) {
        if (!times->observed) {
            if (times->usual.count() == 0) {
                times->usual = time;
            }
            follow(times->usual, time);
        }
    }
}

Microseconds ServiceTimes::usual(const RouteName &route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() || found->second.usual.count() == 0 ? m_all.usual : found->second.usual;
}

Microseconds ServiceTimes::usual() const
{
    return m_all.usual;
}

void ServiceTimes::clear()
{
    m_routes.clear();
    m_all = Times();
}

}
