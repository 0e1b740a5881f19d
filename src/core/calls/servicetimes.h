#pragma once

#include "common/identifiers.h"

#include <unordered_map>

namespace Galenahill {

// Moving averages of the latency of each route's calls at one target.
class ServiceTimes
{
public:
    // The target responded to a call of the route after that time.
    void record(const RouteName &route, std::chrono::microseconds time);

    // Sets an estimate for the route that applies until the first response.
    void assume(const RouteName &route, std::chrono::microseconds time);

    // The average latency of the route, or of all routes while the route has none; zero while
    // nothing is known.
    std::chrono::microseconds average(const RouteName &route) const;
    std::chrono::microseconds average() const;

    // Discards everything, for instance when another target takes this one's place.
    void clear();

private:
    struct Times
    {
        std::chrono::microseconds average{0};
        bool hasSample = false;
    };

    Times &timesOf(const RouteName &route);

    std::unordered_map<RouteName, Times> m_routes;
    Times m_all;
};

}
