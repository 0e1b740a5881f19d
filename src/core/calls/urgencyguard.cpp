#include "core/calls/urgencyguard.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Routes and services that are remembered; a configuration may have many more, of
// which few are used at a time.
constexpr std::size_t MaxKept = 256;

template <typename Map>
void keepBounded(Map &map, const typename Map::key_type &key)
{
    if (map.size() >= MaxKept && map.count(key) == 0) {
        map.clear();
    }
}

}

UrgencyGuard::UrgencyGuard(Options options)
    : m_options(options)
    , m_random(options.seed)
{
}

void UrgencyGuard::learn(const RouteName &route, std::vector<ServiceName> services)
{
    keepBounded(m_calls, route);
    m_calls[route] = std::move(services);
}

const std::vector<ServiceName> &UrgencyGuard::calledBy(const RouteName &route) const
{
    static const std::vector<ServiceName> none;
    const auto found = m_calls.find(route);
    return found == m_calls.end() ? none : found->second;
}

void UrgencyGuard::ended(const RouteDefinition &route, const ServiceName &service, bool refused, TimePoint now)
{
    keepBounded(m_services, service);
    keepBounded(m_routes, route.name);
    m_services[service][route.priority].add(refused, now);
    m_routes[route.name].add(refused, now);
}

double UrgencyGuard::refusedAbove(const RouteDefinition &route, TimePoint now) const
{
    double most = 0;
    const auto called = m_calls.find(route.name);
    if (called == m_calls.end()) {
        return most;
    }
    for (const auto &service : called->second) {
        const auto ranks = m_services.find(service);
        if (ranks == m_services.end()) {
            continue;
        }
        for (const auto &[rank, share] : ranks->second) {
            most = rank < route.priority ? std::max(most, share.value(now)) : most;
        }
    }
    return most;
}

bool UrgencyGuard::shedLoad(const RouteDefinition &route, TimePoint now)
{
    const auto wanted = refusedAbove(route, now) - m_options.margin;
    if (wanted <= 0) {
        return false;
    }
    const auto found = m_routes.find(route.name);
    const auto own = found == m_routes.end() ? 0 : found->second.value(now);
    if (own >= wanted) {
        return false;
    }
    // Those that aren't shed are refused as often as before.
    return std::uniform_real_distribution<double>(0, 1)(m_random) < (wanted - own) / (1 - own);
}

}
