#pragma once

#include "common/identifiers.h"

#include <cstddef>
#include <unordered_map>

namespace Galenahill {

// Bounds the calls that an ingress holds at a time, in all and of one route,
// so that a route whose calls all hang can't use the node up for the others.
class RouteLimiter
{
public:
    struct Options
    {
        std::size_t all = 2048;
        std::size_t perRoute = 512;
    };

    explicit RouteLimiter(Options options);

    // Counts a call in; false if it must be refused.
    bool tryEnter(const RouteName &route);
    void leave(const RouteName &route);

private:
    Options m_options;
    std::size_t m_all = 0;
    std::unordered_map<RouteName, std::size_t> m_routes;
};

}
