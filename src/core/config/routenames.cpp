#include "core/config/routenames.h"

#include <string_view>
#include <unordered_set>

namespace Galenahill {

void makeRouteNamesUnique(std::vector<RouteDefinition> &routes)
{
    std::unordered_set<std::string_view> names;
    names.reserve(routes.size());
    for (auto &route : routes) {
        if (!names.insert(route.name.value()).second) {
            route.name = RouteName(route.name.value() + "@" + route.host + route.path);
            names.insert(route.name.value());
        }
    }
}

}
