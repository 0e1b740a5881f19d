#include "core/calls/priorityinversionguard.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Maximum number of routes and of services that are kept; a configuration may have many more, of
// which few are in use at a time.
constexpr std::size_t MaxEntries = 256;

template <typename Map>
void clearIfFull(Map &map, const typename Map::key_type &key)
{
    if (map.size() >= MaxEntries && map.count(key) == 0) {
        map.clear();
    }
}

}

PriorityInversionGuard::PriorityInversionGuard(Options options)
    : m_options(options)
    , m_random(options.seed)
{
}

void PriorityInversionGuard::setCalledServices(const RouteName &route, std::vector<ServiceName> services)
{
    clearIfFull(m_calledServices, route);
    m_calledServices[route] = std::move(services);
}

const std::vector<ServiceName> &PriorityInversionGuard::calledServices(const RouteName &route) const
{
    static const std::vector<ServiceName> none;
    const auto found = m_calledServices.find(route);
    return found == m_calledServices.end() ? none : found->second;
}

void PriorityInversionGuard::callEnded(const RouteDefinition &route, const ServiceName &service, bool rejected, TimePoint now)
{
    clearIfFull(m_rejectionsByService, service);
    clearIfFull(m_rejectionsByRoute, route.name);
    m_rejectionsByService[service][route.priority].add(rejected, now);
    m_rejectionsByRoute[route.name].add(rejected, now);
}

double PriorityInversionGuard::higherPriorityRejectionRatio(const RouteDefinition &route, TimePoint now) const
{
    double highest = 0;
    const auto called = m_calledServices.find(route.name);
    if (called == m_calledServices.end()) {
        return highest;
    }
    for (const auto &service : called->second) {
        const auto byPriority = m_rejectionsByService.find(service);
        if (byPriority == m_rejectionsByService.end()) {
            continue;
        }
        for (const auto &[priority, ratio] : byPriority->second) {
            highest = priority < route.priority ? std::max(highest, ratio.value(now)) : highest;
        }
    }
    return highest;
}

bool PriorityInversionGuard::shouldShed(const RouteDefinition &route, TimePoint now)
{
    const auto desired = higherPriorityRejectionRatio(route, now) - m_options.margin;
    if (desired <= 0) {
        return false;
    }
    const auto found = m_rejectionsByRoute.find(route.name);
    const auto routeRatio = found == m_rejectionsByRoute.end() ? 0 : found->second.value(now);
    if (routeRatio >= desired) {
        return false;
    }
    // Calls that are not shed are rejected as often as before.
    return std::uniform_real_distribution<double>(0, 1)(m_random) < (desired - routeRatio) / (1 - routeRatio);
}

}
