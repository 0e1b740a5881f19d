#include "core/config/configsnapshot.h"

#include "core/config/configvalidator.h"

#include <algorithm>
#include <functional>
#include <unordered_map>

namespace Galenahill {

class ConfigSnapshot::Private
{
public:
    std::vector<ServiceDefinition> services;
    // Longest path first, so that the first match is the most specific.
    std::vector<RouteDefinition> routes;
    std::unordered_map<ServiceName, std::size_t> serviceIndex;
    // Routes by path; the keys point into `routes`.
    std::unordered_map<std::string_view, std::vector<const RouteDefinition *>> routesByPath;
    std::size_t longestPath = 0;

    void index();
    const RouteDefinition *longestMatch(std::string_view path, const std::function<bool(const RouteDefinition &)> &takes) const;
};

void ConfigSnapshot::Private::index()
{
    for (std::size_t i = 0; i < services.size(); ++i) {
        serviceIndex.emplace(services[i].name, i);
    }
    for (const auto &route : routes) {
        routesByPath[route.path].push_back(&route);
        longestPath = std::max(longestPath, route.path.size());
    }
}

// Looks the path up, then its beginnings, longest first, so that the time
// grows with the path's segments and not with the number of routes. A path
// beyond the longest configured one is cut first; a caller could else make
// each call cost thousands of look-ups.
const RouteDefinition *ConfigSnapshot::Private::longestMatch(std::string_view path, const std::function<bool(const RouteDefinition &)> &takes) const
{
    auto end = path.size();
    if (end > longestPath) {
        end = path.rfind('/', longestPath);
    }
    while (end != std::string_view::npos && !path.empty()) {
        const auto prefix = path.substr(0, std::max<std::size_t>(end, 1));
        if (const auto found = routesByPath.find(prefix); found != routesByPath.end()) {
            const auto taking = std::find_if(found->second.begin(), found->second.end(), [&](const auto *route) { return takes(*route); });
            if (taking != found->second.end()) {
                return *taking;
            }
        }
        end = end <= 1 ? std::string_view::npos : path.rfind('/', end - 1);
    }
    return nullptr;
}

ConfigSnapshot::ConfigSnapshot()
    : d(std::make_unique<Private>())
{
}

ConfigSnapshot::~ConfigSnapshot() = default;

Result<std::shared_ptr<const ConfigSnapshot>> ConfigSnapshot::validate(const std::vector<ConfigFile> &files)
{
    ConfigValidator validator;
    for (const auto &file : files) {
        validator.add(file);
    }
    auto definitions = validator.finish();
    if (!definitions) {
        return tl::unexpected(definitions.error());
    }
    std::shared_ptr<ConfigSnapshot> snapshot(new ConfigSnapshot);
    snapshot->d->services = std::move(definitions->services);
    snapshot->d->routes = std::move(definitions->routes);
    std::stable_sort(
        snapshot->d->routes.begin(), snapshot->d->routes.end(), [](const auto &left, const auto &right) { return left.path.size() > right.path.size(); });
    snapshot->d->index();
    return std::shared_ptr<const ConfigSnapshot>(snapshot);
}

const std::vector<ServiceDefinition> &ConfigSnapshot::services() const
{
    return d->services;
}

const std::vector<RouteDefinition> &ConfigSnapshot::routes() const
{
    return d->routes;
}

const ServiceDefinition *ConfigSnapshot::service(const ServiceName &name) const
{
    const auto found = d->serviceIndex.find(name);
    return found == d->serviceIndex.end() ? nullptr : &d->services[found->second];
}

const RouteDefinition *ConfigSnapshot::route(std::string_view method, std::string_view path) const
{
    return d->longestMatch(
        path, [&](const RouteDefinition &route) { return std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end(); });
}

bool ConfigSnapshot::hasPath(std::string_view path) const
{
    return d->longestMatch(path, [](const RouteDefinition &) { return true; }) != nullptr;
}

bool pathMatches(std::string_view prefix, std::string_view path)
{
    if (path.substr(0, prefix.size()) != prefix) {
        return false;
    }
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

}
