#pragma once

#include "core/config/customerdefinition.h"
#include "core/config/routedefinition.h"
#include "core/config/servicedefinition.h"

#include <cstdint>
#include <vector>

namespace Galenahill {

// Limits on the requests that callers send to an ingress, and on the time that they take or leave a
// connection idle.
struct CallerLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = std::uint64_t(1) << 30;
    Milliseconds headerTimeout{10000};
    Milliseconds idleTimeout{60000};

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

// All definitions of a configuration.
struct ConfigDefinitions
{
    std::vector<ServiceDefinition> services;
    std::vector<RouteDefinition> routes;
    CallerLimits callerLimits;
    std::vector<CustomerDefinition> customers;
    // Whether callers identify themselves by the key of a customer, except on anonymous routes.
    bool requiresKeys = false;
};

}
