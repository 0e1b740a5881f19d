#pragma once

#include "core/calls/servicelevelmetrics.h"

#include <map>
#include <string>
#include <vector>

namespace Galenahill {

// The node's own figures by metric name, without the common prefix.
using NodeGauges = std::map<std::string, double>;

// The Prometheus text format, version 0.0.4.
std::string metricsText(const NodeGauges &gauges, const std::vector<RouteReport> &routes);

// Route reports as JSON for other nodes, and back; what doesn't decode gives
// nothing.
std::string reportsToJson(const std::vector<RouteReport> &reports);
std::vector<RouteReport> reportsFromJson(const std::string &json);

}
