#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Galenahill {

// An HTML page with one bar chart per window of the burn of each route, from
// the result of the `burn` method. Needs no script and no network.
std::string burnPlot(const nlohmann::json &report);

}
