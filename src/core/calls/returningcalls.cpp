#include "core/calls/returningcalls.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Galenahill {

namespace {

// Deadlines within a factor of two fall into this many buckets.
constexpr double BucketsPerOctave = 48;

// Maximum number of routes that are kept; a configuration may have many more.
constexpr std::size_t MaxRoutes = 256;

// Deadlines outside of this range are not usual ones of callers that return.
constexpr Milliseconds MinDeadline{50};
constexpr Milliseconds MaxDeadline{60000};

int bucketOf(Milliseconds left)
{
    return static_cast<int>(std::floor(std::log2(static_cast<double>(left.count())) * BucketsPerOctave));
}

}

ReturningCalls::ReturningCalls(Options options)
    : m_options(options)
{
}

void ReturningCalls::advance(Route &route, Milliseconds period, TimePoint now)
{
    if (now - route.periodBegin < period) {
        return;
    }
    const bool isNext = now - route.periodBegin < 2 * period;
    route.previous = isNext ? route.current : 0;
    route.current = 0;
    for (auto bucket = route.buckets.begin(); bucket != route.buckets.end();) {
        bucket->second.previous = isNext ? std::exchange(bucket->second.current, 0) : 0;
        bucket = bucket->second.previous == 0 ? route.buckets.erase(bucket) : std::next(bucket);
    }
    route.periodBegin = now;
}

// A deadline may fall into either of two adjacent buckets, depending on how long the call was on its way.
bool ReturningCalls::isUsual(const Route &route, int bucket) const
{
    std::uint32_t calls = 0;
    for (auto near = route.buckets.lower_bound(bucket - 1); near != route.buckets.end() && near->first <= bucket + 1; ++near) {
        calls += near->second.current + near->second.previous;
    }
    return calls >= m_options.usualShare * (route.current + route.previous);
}

Milliseconds ReturningCalls::waitedBefore(const RouteName &name, Milliseconds left, TimePoint now)
{
    if (left < MinDeadline || left > MaxDeadline) {
        return Milliseconds(0);
    }
    if (m_routes.size() >= MaxRoutes && m_routes.count(name) == 0) {
        m_routes.clear();
    }
    auto &route = m_routes[name];
    advance(route, m_options.period, now);
    const auto own = bucketOf(left);
    auto &bucket = route.buckets[own];
    ++route.current;
    ++bucket.current;
    bucket.longest = std::max(bucket.longest, left);
    if (route.current + route.previous < m_options.minCalls || isUsual(route, own)) {
        return Milliseconds(0);
    }
    for (auto above = route.buckets.upper_bound(own + 1); above != route.buckets.end(); ++above) {
        if (isUsual(route, above->first)) {
            const auto usual = above->second.longest;
            return left >= usual * m_options.minLeft ? usual - left : Milliseconds(0);
        }
    }
    return Milliseconds(0);
}

}
