#include "core/calls/trafficsplit.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Routes whose shares are kept; a configuration may have many more.
constexpr std::size_t MaxRoutes = 1024;

}

std::vector<TrafficSplit::Part> &TrafficSplit::partsOf(const RouteDefinition &route)
{
    if (m_routes.size() >= MaxRoutes && m_routes.count(route.name) == 0) {
        m_routes.clear();
    }
    auto &parts = m_routes[route.name];
    const auto same = [](const Part &part, const WeightedService &target) { return part.target == target; };
    if (!std::equal(parts.begin(), parts.end(), route.split.begin(), route.split.end(), same)) {
        parts.clear();
        for (const auto &target : route.split) {
            parts.push_back({target, 0});
        }
    }
    return parts;
}

const ServiceName &TrafficSplit::next(const RouteDefinition &route)
{
    if (route.split.empty()) {
        return route.service;
    }
    auto &parts = partsOf(route);
    std::int64_t sum = 0;
    for (auto &part : parts) {
        part.behind += part.target.weight;
        sum += part.target.weight;
    }
    const auto chosen = std::max_element(parts.begin(), parts.end(), [](const Part &a, const Part &b) { return a.behind < b.behind; });
    chosen->behind -= sum;
    return chosen->target.service;
}

}
