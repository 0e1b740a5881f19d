#pragma once

#include "core/calls/retrybudget.h"
#include "core/calls/servicelevelmetrics.h"

#include <map>
#include <string>
#include <vector>

namespace Galenahill {

// Gauges of the node by metric name, without the prefix galenahill_.
using NodeGauges = std::map<std::string, double>;

// Formats the use of the retry budget by service.
std::string retryMetricsText(const std::map<ServiceName, RetryBudget::Counts> &counts);

// Formats the metrics in the Prometheus text format, version 0.0.4.
std::string metricsText(const NodeGauges &gauges, const std::vector<RouteReport> &routes);

// Encode and decode route reports as JSON for other nodes. Unparsable text yields no reports.
std::string reportsToJson(const std::vector<RouteReport> &reports);
std::vector<RouteReport> reportsFromJson(const std::string &json);

}
