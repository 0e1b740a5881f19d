#pragma once

#include "core/config/routedefinition.h"

#include <unordered_map>
#include <vector>

namespace Galenahill {

// Distributes the calls of a route over its services by smooth weighted round-robin: after any
// number of calls each service has had its share to within one call. A random choice would deviate
// from the weights by several per cent in a window of some hundred calls.
class TrafficSplit
{
public:
    // The service that gets the next call of the route.
    const ServiceName &next(const RouteDefinition &route);

private:
    struct Backend
    {
        WeightedService target;
        // Calls by which the service is behind its share, times the sum of the weights.
        double currentWeight = 0;
    };

    std::vector<Backend> &backendsOf(const RouteDefinition &route);

    std::unordered_map<RouteName, std::vector<Backend>> m_routes;
};

}
