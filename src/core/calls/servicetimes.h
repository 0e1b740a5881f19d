#pragma once

#include "common/identifiers.h"

#include <unordered_map>

namespace Galenahill {

// How long calls of each route take at one target of late, as moving averages.
class ServiceTimes
{
public:
    // A call of the route was answered after that time at the target.
    void observed(const RouteName &route, std::chrono::microseconds time);

    // Calls of the route are taken to need that time until the first is answered.
    void suppose(const RouteName &route, std::chrono::microseconds time);

    // The route's usual time, or the usual time of all routes while it has
    // none; zero while nothing is known.
    std::chrono::microseconds usual(const RouteName &route) const;
    std::chrono::microseconds usual() const;

    // Forgets everything, as when another target takes the place.
    void clear();

private:
    struct Times
    {
        std::chrono::microseconds usual{0};
        bool observed = false;
    };

    Times &timesOf(const RouteName &route);

    std::unordered_map<RouteName, Times> m_routes;
    Times m_all;
};

}
