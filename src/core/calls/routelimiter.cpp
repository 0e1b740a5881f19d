#include "core/calls/routelimiter.h"

namespace Galenahill {

RouteLimiter::RouteLimiter(Options options)
    : m_options(options)
{
}

bool RouteLimiter::tryAcquire(const RouteName &route)
{
    auto &calls = m_routes[route];
    if (m_total >= m_options.maxCalls || calls >= m_options.maxCallsPerRoute) {
        return false;
    }
    ++m_total;
    ++calls;
    return true;
}

void RouteLimiter::release(const RouteName &route)
{
    --m_total;
    const auto found = m_routes.find(route);
    if (--found->second == 0) {
        m_routes.erase(found);
    }
}

}
