#include "core/calls/burnreport.h"

namespace Galenahill {

double RouteBurn::availabilityBurn(std::size_t window) const
{
    return burnRate(windows[window].failed, windows[window].calls, sloAvailability);
}

double RouteBurn::latencyBurn(std::size_t window) const
{
    return sloLatency.count() == 0 ? 0 : burnRate(windows[window].slow, windows[window].calls, sloAvailability);
}

void BurnReport::add(const std::vector<RouteReport> &reports)
{
    ++m_nodes;
    for (const auto &report : reports) {
        auto &burn = m_routes[report.route];
        burn.sloAvailability = report.sloAvailability;
        burn.sloLatency = report.sloLatency;
        burn.windows.resize(ServiceLevelMetrics::Windows.size());
        for (std::size_t i = 0; i < report.windows.size() && i < burn.windows.size(); ++i) {
            burn.windows[i] += report.windows[i];
        }
    }
}

void BurnReport::addMissing(const NodeName &node)
{
    m_missing.push_back(node);
}

const std::map<RouteName, RouteBurn> &BurnReport::routes() const
{
    return m_routes;
}

const std::vector<NodeName> &BurnReport::missing() const
{
    return m_missing;
}

std::size_t BurnReport::nodes() const
{
    return m_nodes;
}

}
