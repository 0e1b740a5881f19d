#pragma once

#include "common/identifiers.h"
#include "core/config/calltype.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Galenahill {

// One part of a route whose calls are distributed over several services.
struct WeightedService
{
    ServiceName service;
    // Share of the calls, relative to the sum of all parts' weights.
    std::uint32_t weight = 1;

    friend bool operator==(const WeightedService &, const WeightedService &) = default;
};

// A [route] section after validation.
struct RouteDefinition
{
    RouteName name;
    FileName file;
    // Host that the call must name; empty: any.
    std::string host;
    // Path that the call's path equals or continues after a slash. With a
    // slash at its end, calls must continue it.
    std::string path;
    // Methods that the route takes; empty: all.
    std::vector<std::string> methods;
    ServiceName service;
    // Services that take the calls by weight instead of `service`, which is
    // then the first of them; empty: all go to `service`.
    std::vector<WeightedService> split;
    CallType type = CallType::NonIdempotent;
    Milliseconds timeout{1000};
    // Further attempts after the first; always zero unless idempotent.
    std::uint32_t retries = 0;
    // Most targets that one call may be sent to, those that answer that they
    // didn't run it counted.
    std::uint32_t maxTargets = 4;
    // Rank among the routes that wait for one target; zero goes first.
    std::uint32_t priority = 0;
    // Share of the calls that should succeed, in per cent; zero: no objective.
    double sloAvailability = 0;
    // Time within which a successful call should be answered; zero: none.
    Milliseconds sloLatency{0};

    // Whether running a call twice does no harm.
    bool idempotent() const
    {
        return type == CallType::Idempotent;
    }
};

}
