#include "core/rollouts/evidencetable.h"

#include "core/rollouts/rolloutlimits.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Highest call count that a valid report can contain.
constexpr std::uint32_t MaxCalls = 1'000'000'000;

bool inRange(const RouteCounts &counts)
{
    const bool named = !counts.route.value().empty() && counts.route.value().size() <= RolloutLimits::MaxNameBytes;
    const bool bounded = counts.calls <= MaxCalls && counts.failures <= counts.calls && counts.times.size() <= TimeRange::Count;
    return named && bounded && std::all_of(counts.times.begin(), counts.times.end(), [&](const TimeRange &times) {
        return times.range < TimeRange::Count && times.calls <= counts.calls;
    });
}

void mergeMaximum(RouteCounts &held, const RouteCounts &reported)
{
    held.calls = std::max(held.calls, reported.calls);
    held.failures = std::max(held.failures, reported.failures);
    for (const auto &times : reported.times) {
        const auto same = std::find_if(held.times.begin(), held.times.end(), [&](const TimeRange &known) { return known.range == times.range; });
        if (same == held.times.end()) {
            held.times.push_back(times);
        } else {
            same->calls = std::max(same->calls, times.calls);
        }
    }
}

}

bool EvidenceTable::merge(const TargetCounts &counts, TimePoint now)
{
    if (counts.routes.size() > RolloutLimits::MaxRoutes || !std::all_of(counts.routes.begin(), counts.routes.end(), inRange)) {
        return false;
    }
    const Source source{counts.node, counts.process, counts.version};
    if (m_counts.size() >= RolloutLimits::MaxTargets && !m_counts.contains(source)) {
        return false;
    }
    auto &held = m_counts.try_emplace(source, counts).first->second;
    if (counts.report >= held.report) {
        held.report = counts.report;
        held.retired = counts.retired;
        m_lastReported[source] = now;
    }
    for (const auto &route : counts.routes) {
        const auto same = std::find_if(held.routes.begin(), held.routes.end(), [&](const RouteCounts &known) { return known.route == route.route; });
        if (same != held.routes.end()) {
            mergeMaximum(*same, route);
        } else if (held.routes.size() < RolloutLimits::MaxRoutes) {
            held.routes.push_back(route);
        }
    }
    return true;
}

const std::map<EvidenceTable::Source, TargetCounts> &EvidenceTable::all() const
{
    return m_counts;
}

bool EvidenceTable::isRetired(const NodeName &node, TimePoint now) const
{
    std::uint64_t latest = 0;
    bool retired = false;
    for (const auto &[source, counts] : m_counts) {
        if (source.node == node && source.process >= latest) {
            latest = source.process;
            retired = counts.retired && now - m_lastReported.at(source) <= RetirementBelief;
        }
    }
    return retired;
}

}
