#pragma once

#include "common/identifiers.h"
#include "core/config/calltype.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Galenahill {

// One of several services that share the calls of a route.
struct WeightedService
{
    ServiceName service;
    // Share of the calls, relative to the sum of all weights.
    double weight = 1;

    friend bool operator==(const WeightedService &, const WeightedService &) = default;
};

// A [route] section after validation.
struct RouteDefinition
{
    RouteName name;
    FileName file;
    // Host name that the call must carry; empty: any.
    std::string host;
    // Path prefix: the call's path equals it or continues it after a slash. If it ends with a
    // slash, the call's path must continue it.
    std::string path;
    // Methods that the route accepts; empty: all.
    std::vector<std::string> methods;
    ServiceName service;
    // Services that share the calls by weight instead of `service`, which is then the first of
    // them; empty: all calls go to `service`.
    std::vector<WeightedService> split;
    CallType type = CallType::NonIdempotent;
    // Whether calls need no key of a customer.
    bool anonymous = false;
    Milliseconds timeout{1000};
    // Maximum number of retries; always zero unless idempotent.
    std::uint32_t retries = 0;
    // Maximum number of targets that one call may be sent to, including those that rejected it
    // without running it.
    std::uint32_t maxTargets = 4;
    // Priority among the routes that wait for the same target; zero is served first.
    std::uint32_t priority = 0;
    // Availability objective: percentage of calls that should succeed; zero: none.
    double sloAvailability = 0;
    // Latency objective for successful calls; zero: none.
    Milliseconds sloLatency{0};

    // Whether a call may run more than once without harm.
    bool idempotent() const
    {
        return type == CallType::Idempotent || type == CallType::LargeResponse;
    }
};

}
