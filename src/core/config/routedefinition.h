#pragma once

#include "common/identifiers.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Galenahill {

// A [route] section after validation.
struct RouteDefinition
{
    RouteName name;
    FileName file;
    // Path that the call's path equals or continues after a slash.
    std::string path;
    std::vector<std::string> methods;
    ServiceName service;
    bool idempotent = false;
    Milliseconds timeout{1000};
    // Further attempts after the first; always zero unless idempotent.
    std::uint32_t retries = 0;
    // Share of the calls that should succeed, in per cent; zero: no objective.
    double sloAvailability = 0;
    // Time within which a successful call should be answered; zero: none.
    Milliseconds sloLatency{0};
};

}
