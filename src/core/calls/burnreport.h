#pragma once

#include "core/calls/servicelevelmetrics.h"

#include <map>
#include <vector>

namespace Galenahill {

// The burn of one route's objectives, summed over nodes.
struct RouteBurn
{
    double sloAvailability = 0;
    Milliseconds sloLatency{0};
    // In the order of ServiceLevelMetrics::Windows.
    std::vector<CallCounts> windows;

    double availabilityBurn(std::size_t window) const;
    double latencyBurn(std::size_t window) const;
};

// Service-level burn of the fleet, from the reports of single nodes.
class BurnReport
{
public:
    // Counts a node's report in. Objectives are those of the last node
    // counted; during a change nodes may differ for seconds.
    void add(const std::vector<RouteReport> &reports);

    // Notes a member that gave no report, so that readers see what is
    // missing.
    void addMissing(const NodeName &node);

    const std::map<RouteName, RouteBurn> &routes() const;
    const std::vector<NodeName> &missing() const;
    std::size_t nodes() const;

private:
    std::map<RouteName, RouteBurn> m_routes;
    std::vector<NodeName> m_missing;
    std::size_t m_nodes = 0;
};

}
