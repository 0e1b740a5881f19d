#pragma once

#include "core/calls/servicelevelmetrics.h"

#include <map>
#include <vector>

namespace Galenahill {

// Burn rates of one route's objectives, summed over nodes.
struct RouteBurn
{
    double sloAvailability = 0;
    Milliseconds sloLatency{0};
    // In the order of ServiceLevelMetrics::Windows.
    std::vector<CallCounts> windows;

    double availabilityBurn(std::size_t window) const;
    double latencyBurn(std::size_t window) const;
};

// Burn rates of the whole fleet, from the reports of single nodes.
class BurnReport
{
public:
    // Adds a node's report. The objectives are those of the node added last; while a new
    // configuration spreads, nodes may differ for seconds.
    void add(const std::vector<RouteReport> &reports);

    // Records a member that sent no report, so that readers see that the sums are incomplete.
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
