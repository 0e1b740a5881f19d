#pragma once

#include "core/config/routedefinition.h"

#include <vector>

namespace Galenahill {

// Adds the host and the path to the name of each route whose name an earlier one has, for configurations in which names are
// unique within a host only.
void makeRouteNamesUnique(std::vector<RouteDefinition> &routes);

}
