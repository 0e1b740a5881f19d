#pragma once

#include "core/customers/customercounts.h"

#include <optional>
#include <string>

namespace Galenahill {

// Formats the counts in the Prometheus text format, version 0.0.4; empty if there are no customers.
std::string customerMetricsText(const CustomerCountReport &report);

// Encode and decode the counts as JSON for other nodes. Unset if the text can't be parsed.
std::string customerCountsToJson(const CustomerCountReport &report);
std::optional<CustomerCountReport> customerCountsFromJson(const std::string &text);

}
