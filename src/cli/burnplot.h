#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Galenahill {

// Renders the result of the RPC method `burn` as an HTML page: one bar chart per time window, with
// the burn rates of each route. The page needs neither scripts nor network access.
std::string burnPlot(const nlohmann::json &report);

}
