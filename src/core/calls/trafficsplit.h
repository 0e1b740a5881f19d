#pragma once

#include "core/config/routedefinition.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Galenahill {

// Distributes the calls of a route over its parts in the proportion of their
// weights, evenly in time: after any number of calls each part has had its
// share to within one call. A random choice would stray from the weights by
// several per cent in a window of some hundred calls.
class TrafficSplit
{
public:
    // The service that takes the next call of the route.
    const ServiceName &next(const RouteDefinition &route);

private:
    struct Part
    {
        WeightedService target;
        // How far the part is behind its share, in weights.
        std::int64_t behind = 0;
    };

    std::vector<Part> &partsOf(const RouteDefinition &route);

    std::unordered_map<RouteName, std::vector<Part>> m_routes;
};

}
