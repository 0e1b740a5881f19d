#pragma once

#include "common/identifiers.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace Galenahill {

// Recognises calls whose caller was rejected before and returns. Callers give each call the time that
// they have left, so a returning call comes with less than its first attempt did. Most calls are first
// attempts and come with the same few deadlines, which are learnt per route; callers that return come
// with many different ones.
class ReturningCalls
{
public:
    struct Options
    {
        // Calls are remembered for one to two of these periods.
        Milliseconds period{15000};
        // Share of the remembered calls of a route from which a deadline is a usual one, and number of
        // remembered calls below which nothing is known.
        double usualShare = 0.2;
        std::uint32_t minCalls = 20;
        // Smallest share of a usual deadline with which a caller returns. Callers wait for at most a third
        // of their time and return once, so a call with less has another origin.
        double minLeft = 0.55;
    };

    explicit ReturningCalls(Options options);

    // Records a call with that much time left. Returns how long its caller has waited since its first
    // attempt, zero if this is the first one as far as is known.
    Milliseconds waitedBefore(const RouteName &route, Milliseconds left, TimePoint now);

private:
    // Calls whose deadlines differ by about one percent.
    struct Bucket
    {
        std::uint32_t current = 0;
        std::uint32_t previous = 0;
        Milliseconds longest{0};
    };

    struct Route
    {
        TimePoint periodBegin;
        std::uint32_t current = 0;
        std::uint32_t previous = 0;
        std::map<int, Bucket> buckets;
    };

    static void advance(Route &route, Milliseconds period, TimePoint now);
    bool isUsual(const Route &route, int bucket) const;

    Options m_options;
    std::unordered_map<RouteName, Route> m_routes;
};

}
