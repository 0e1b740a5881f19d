#pragma once

#include "common/identifiers.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace Galenahill {

// Moving averages and high quantiles of the latency of each route's calls at one target.
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

    // A latency that nine in ten of the route's last calls did not exceed, and not less than the average;
    // the average while the route has no responses.
    std::chrono::microseconds high(const RouteName &route) const;

    // Discards everything, for instance when another target takes this one's place.
    void clear();

private:
    // Responses per route that the quantile is taken from.
    static constexpr std::size_t MaxSamples = 32;

    struct Times
    {
        std::chrono::microseconds average{0};
        bool hasSample = false;
        // The last latencies in microseconds, in a ring.
        std::array<std::uint32_t, MaxSamples> samples{};
        std::size_t count = 0;
        std::size_t next = 0;
    };

    Times &timesOf(const RouteName &route);

    std::unordered_map<RouteName, Times> m_routes;
    Times m_all;
};

}
