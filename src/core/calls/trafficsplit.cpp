#include "core/calls/trafficsplit.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Maximum number of routes whose weights are kept; a configuration may have many more.
constexpr std::size_t MaxRoutes = 1024;

}

std::vector<TrafficSplit::Backend> &TrafficSplit::backendsOf(const RouteDefinition &route)
{
    if (m_routes.size() >= MaxRoutes && m_routes.count(route.name) == 0) {
        m_routes.clear();
    }
    auto &backends = m_routes[route.name];
    const auto same = [](const Backend &backend, const WeightedService &target) { return backend.target == target; };
    if (!std::equal(backends.begin(), backends.end(), route.split.begin(), route.split.end(), same)) {
        backends.clear();
        for (const auto &target : route.split) {
            backends.push_back({target, 0});
        }
    }
    return backends;
}

const ServiceName &TrafficSplit::next(const RouteDefinition &route)
{
    if (route.split.empty()) {
        return route.service;
    }
    auto &backends = backendsOf(route);
    double sum = 0;
    for (auto &backend : backends) {
        backend.currentWeight += backend.target.weight;
        sum += backend.target.weight;
    }
    const auto chosen
        = std::max_element(backends.begin(), backends.end(), [](const Backend &a, const Backend &b) { return a.currentWeight < b.currentWeight; });
    chosen->currentWeight -= sum;
    return chosen->target.service;
}

}
