#include "core/calls/servicetimes.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Galenahill {

namespace {

using Microseconds = std::chrono::microseconds;

// Weight divisor of one call in the average: follows a target that becomes slow within about ten
// calls, and is not distorted by one call that takes three times as long.
constexpr int Weight = 8;

// Maximum number of routes whose latency is kept; a configuration may have many more.
constexpr std::size_t MaxRoutes = 256;

// Share of the calls that the high latency covers.
constexpr double HighQuantile = 0.9;

void updateAverage(Microseconds &average, Microseconds time)
{
    average += (time - average) / Weight;
}

}

ServiceTimes::Times &ServiceTimes::timesOf(const RouteName &route)
{
    if (m_routes.size() >= MaxRoutes && m_routes.count(route) == 0) {
        m_routes.clear();
    }
    return m_routes[route];
}

void ServiceTimes::record(const RouteName &route, Microseconds time)
{
    for (auto *times : {&timesOf(route), &m_all}) {
        if (std::exchange(times->hasSample, true)) {
            updateAverage(times->average, time);
        } else {
            times->average = time;
        }
        times->samples[times->next] = static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, std::numeric_limits<std::uint32_t>::max()));
        times->next = (times->next + 1) % MaxSamples;
        times->count = std::min(times->count + 1, MaxSamples);
    }
}

void ServiceTimes::assume(const RouteName &route, Microseconds time)
{
    for (auto *times : {&timesOf(route), &m_all}) {
        if (!times->hasSample) {
            if (times->average.count() == 0) {
                times->average = time;
            }
            updateAverage(times->average, time);
        }
    }
}

Microseconds ServiceTimes::average(const RouteName &route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() || found->second.average.count() == 0 ? m_all.average : found->second.average;
}

Microseconds ServiceTimes::high(const RouteName &route) const
{
    const auto found = m_routes.find(route);
    const auto known = average(route);
    if (found == m_routes.end() || found->second.count == 0) {
        return known;
    }
    auto sorted = found->second.samples;
    const auto count = found->second.count;
    const auto rank = std::min(static_cast<std::size_t>(HighQuantile * static_cast<double>(count)), count - 1);
    std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.begin() + count);
    return std::max(known, Microseconds(sorted[rank]));
}

Microseconds ServiceTimes::average() const
{
    return m_all.average;
}

void ServiceTimes::clear()
{
    m_routes.clear();
    m_all = Times();
}

}
