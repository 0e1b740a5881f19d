#pragma once

#include "common/identifiers.h"

#include <unordered_map>
#include <vector>

namespace Galenahill {

// The services that targets call while they execute calls of each route. Bounded, since the list
// travels in a response header.
class CalledServices
{
public:
    // A target that executes a call of the route has called the service.
    void add(const RouteName &route, const ServiceName &service);

    // The services known for the route, or null if there are none.
    const std::vector<ServiceName> *servicesOf(const RouteName &route) const;

private:
    std::unordered_map<RouteName, std::vector<ServiceName>> m_called;
};

}
