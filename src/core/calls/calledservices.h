#pragma once

#include "common/identifiers.h"

#include <unordered_map>
#include <vector>

namespace Galenahill {

// The services that runs of each route call. Bounded, since they travel in a field
// of an answer.
class CalledServices
{
public:
    // A run of a call of the route has made a call to the service.
    void add(const RouteName &route, const ServiceName &service);

    // The services known for the route, or null if there is none.
    const std::vector<ServiceName> *of(const RouteName &route) const;

private:
    std::unordered_map<RouteName, std::vector<ServiceName>> m_called;
};

}
