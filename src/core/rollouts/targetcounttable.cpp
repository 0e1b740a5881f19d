#include "core/rollouts/targetcounttable.h"

#include "core/rollouts/rolloutlimits.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Highest call count that a valid report can contain.
constexpr std::uint32_t MaxCalls = 1'000'000'000;

bool inRange(const RouteCounts &counts)
{
    const bool named = !counts.route.value().empty() && counts.route.value().size() <= RolloutLimits::MaxNameBytes;
    const bool bounded = counts.calls <= MaxCalls && counts.failures <= counts.calls && counts.latencies.size() <= LatencyBucket::Count;
    return named && bounded && std::all_of(counts.latencies.begin(), counts.latencies.end(), [&](const LatencyBucket &bucket) {
        return bucket.index < LatencyBucket::Count && bucket.calls <= counts.calls;
    });
}

void mergeMaximum(RouteCounts &existing, const RouteCounts &reported)
{
    existing.calls = std::max(existing.calls, reported.calls);
    existing.failures = std::max(existing.failures, reported.failures);
    for (const auto &bucket : reported.latencies) {
        const auto same
            = std::find_if(existing.latencies.begin(), existing.latencies.end(), [&](const LatencyBucket &known) { return known.index == bucket.index; });
        if (same == existing.latencies.end()) {
            existing.latencies.push_back(bucket);
        } else {
            same->calls = std::max(same->calls, bucket.calls);
        }
    }
}

}

bool TargetCountTable::merge(const TargetCounts &counts, TimePoint now)
{
    if (counts.routes.size() > RolloutLimits::MaxRoutes || !std::all_of(counts.routes.begin(), counts.routes.end(), inRange)) {
        return false;
    }
    const Source source{counts.node, counts.process, counts.version};
    if (m_counts.size() >= RolloutLimits::MaxTargets && !m_counts.contains(source)) {
        return false;
    }
    auto &existing = m_counts.try_emplace(source, counts).first->second;
    if (counts.sequence >= existing.sequence) {
        existing.sequence = counts.sequence;
        existing.retired = counts.retired;
        m_lastReported[source] = now;
    }
    for (const auto &route : counts.routes) {
        const auto same = std::find_if(existing.routes.begin(), existing.routes.end(), [&](const RouteCounts &known) { return known.route == route.route; });
        if (same != existing.routes.end()) {
            mergeMaximum(*same, route);
        } else if (existing.routes.size() < RolloutLimits::MaxRoutes) {
            existing.routes.push_back(route);
        }
    }
    return true;
}

const std::map<TargetCountTable::Source, TargetCounts> &TargetCountTable::all() const
{
    return m_counts;
}

bool TargetCountTable::isRetired(const NodeName &node, TimePoint now) const
{
    std::uint64_t latest = 0;
    bool retired = false;
    for (const auto &[source, counts] : m_counts) {
        if (source.node == node && source.process >= latest) {
            latest = source.process;
            retired = counts.retired && now - m_lastReported.at(source) <= RetirementValidity;
        }
    }
    return retired;
}

}
