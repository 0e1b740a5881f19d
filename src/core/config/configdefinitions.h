#pragma once

#include "core/config/routedefinition.h"
#include "core/config/servicedefinition.h"

#include <cstdint>
#include <vector>

namespace Galenahill {

// What callers may send to an ingress, and how long they may take or stay
// idle on a connection.
struct CallerLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = std::uint64_t(1) << 30;
    Milliseconds headerTimeout{10000};
    Milliseconds idleTimeout{60000};

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

// What a whole configuration defines.
struct ConfigDefinitions
{
    std::vector<ServiceDefinition> services;
    std::vector<RouteDefinition> routes;
    CallerLimits callerLimits;
};

}
