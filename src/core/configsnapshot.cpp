#include "core/configsnapshot.h"

#include "core/configvalidator.h"

#include <algorithm>
#include <unordered_map>

namespace Galenahill {

class ConfigSnapshot::Private
{
public:
    std::vector<ServiceDefinition> services;
    // Longest path first, so that the first match is the most specific.
    std::vector<RouteDefinition> routes;
    std::unordered_map<ServiceName, std::size_t> serviceIndex;
};

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
    for (std::size_t i = 0; i < snapshot->d->services.size(); ++i) {
        snapshot->d->serviceIndex.emplace(snapshot->d->services[i].name, i);
    }
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
    const auto takes = [&](const RouteDefinition &route) {
        return pathMatches(route.path, path) && std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
    };
    const auto found = std::find_if(d->routes.begin(), d->routes.end(), takes);
    return found == d->routes.end() ? nullptr : &*found;
}

bool ConfigSnapshot::hasPath(std::string_view path) const
{
    return std::any_of(d->routes.begin(), d->routes.end(), [&](const auto &route) { return pathMatches(route.path, path); });
}

bool pathMatches(std::string_view prefix, std::string_view path)
{
    if (path.substr(0, prefix.size()) != prefix) {
        return false;
    }
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

}
