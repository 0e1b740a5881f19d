#pragma once

#include "common/identifiers.h"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Galenahill {

// Sizes of the responses of each route, learnt from the last responses of one target.
class ResponseSizes
{
public:
    struct Options
    {
        // Size assumed for a route without responses. Too low an assumption would let a restarted node
        // run more calls than its link carries.
        std::uint64_t assumedBytes = 128 * 1024;
        // Number of responses that the assumption weighs as much as.
        std::uint32_t assumedWeight = 4;
        // Routes whose sizes are kept. A configuration may have many more; the one that has been unused
        // for longest makes room.
        std::size_t maxRoutes = 64;
        // Share of the responses that the high estimate covers.
        double highQuantile = 0.9;
    };

    struct Estimate
    {
        std::uint64_t mean = 0;
        std::uint64_t high = 0;
        // Time since the last response; empty if there was none.
        std::optional<Milliseconds> age;
    };

    explicit ResponseSizes(Options options);

    // A response of the route had that size.
    void record(const RouteName &route, std::uint64_t bytes, TimePoint now);

    Estimate estimate(const RouteName &route, TimePoint now) const;

    std::size_t routes() const;

private:
    // Responses per route that the estimates are made from: enough for the quantile, and few enough to
    // follow a change within seconds at 20 responses/s.
    static constexpr std::size_t MaxSamples = 64;

    struct Samples
    {
        std::array<std::uint32_t, MaxSamples> bytes{};
        std::size_t count = 0;
        std::size_t next = 0;
        TimePoint lastAt;
    };

    Samples &samplesOf(const RouteName &route);

    Options m_options;
    std::unordered_map<RouteName, Samples> m_routes;
};

}
