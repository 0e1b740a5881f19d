#include "core/calls/servicetimes.h"

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
    average = average.count() == 0 ? time : average + (time - average) / Weight;
}

}

void ServiceTimes::observed(const RouteName &route, Microseconds time)
{
    if (m_routes.size() >= MaxRoutes && m_routes.count(route) == 0) {
        m_routes.clear();
    }
    follow(m_routes[route], time);
    follow(m_all, time);
}

Microseconds ServiceTimes::usual(const RouteName &route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? m_all : found->second;
}

Microseconds ServiceTimes::usual() const
{
    return m_all;
}

void ServiceTimes::clear()
{
    m_routes.clear();
    m_all = Microseconds(0);
}

}
