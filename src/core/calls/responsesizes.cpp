#include "core/calls/responsesizes.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace Galenahill {

ResponseSizes::ResponseSizes(Options options)
    : m_options(options)
{
}

ResponseSizes::Samples &ResponseSizes::samplesOf(const RouteName &route)
{
    if (m_routes.size() >= m_options.maxRoutes && m_routes.count(route) == 0) {
        const auto isOlder = [](const auto &left, const auto &right) { return left.second.lastAt < right.second.lastAt; };
        m_routes.erase(std::min_element(m_routes.begin(), m_routes.end(), isOlder));
    }
    return m_routes[route];
}

void ResponseSizes::record(const RouteName &route, std::uint64_t bytes, TimePoint now)
{
    auto &samples = samplesOf(route);
    samples.bytes[samples.next] = static_cast<std::uint32_t>(std::min<std::uint64_t>(bytes, std::numeric_limits<std::uint32_t>::max()));
    samples.next = (samples.next + 1) % MaxSamples;
    samples.count = std::min(samples.count + 1, MaxSamples);
    samples.lastAt = now;
}

// The assumption counts less with each response, until the samples are complete.
ResponseSizes::Estimate ResponseSizes::estimate(const RouteName &route, TimePoint now) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        return {.mean = m_options.assumedBytes, .high = m_options.assumedBytes, .age = std::nullopt};
    }
    const auto &samples = found->second;
    auto sorted = samples.bytes;
    const auto end = sorted.begin() + samples.count;
    const auto sum = std::accumulate(sorted.begin(), end, std::uint64_t(0));
    const auto assumed = samples.count < MaxSamples ? m_options.assumedWeight : 0;
    const auto mean = (sum + assumed * m_options.assumedBytes) / (samples.count + assumed);
    const auto rank = std::min(static_cast<std::size_t>(m_options.highQuantile * samples.count), samples.count - 1);
    std::nth_element(sorted.begin(), sorted.begin() + rank, end);
    const bool isFew = samples.count < m_options.assumedWeight;
    const auto high = std::max<std::uint64_t>({sorted[rank], mean, isFew ? m_options.assumedBytes : 0});
    return {.mean = mean, .high = high, .age = std::chrono::duration_cast<Milliseconds>(now - samples.lastAt)};
}

std::size_t ResponseSizes::routes() const
{
    return m_routes.size();
}

}
