#pragma once

#include "common/identifiers.h"

#include <cstddef>
#include <unordered_map>

namespace Galenahill {

// Limits the concurrent calls of an ingress, in total and per route, so that a route whose calls
// all hang cannot exhaust the node for the others.
class RouteLimiter
{
public:
    struct Options
    {
        std::size_t maxCalls = 2048;
        std::size_t maxCallsPerRoute = 512;
    };

    explicit RouteLimiter(Options options);

    // Counts a call; false if it must be rejected.
    bool tryAcquire(const RouteName &route);
    void release(const RouteName &route);

private:
    Options m_options;
    std::size_t m_total = 0;
    std::unordered_map<RouteName, std::size_t> m_routes;
};

}
