#include "core/config/configsnapshot.h"

#include "core/config/configvalidator.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <unordered_map>

namespace Galenahill {

class ConfigSnapshot::Private
{
public:
    std::vector<ServiceDefinition> services;
    // Sorted by path, those for one host before those for any host. A separate index took a third
    // of a large configuration's memory.
    std::vector<RouteDefinition> routes;
    std::vector<CustomerDefinition> customers;
    bool requiresKeys = false;
    std::unordered_map<CustomerName, std::size_t> customerIndex;
    std::unordered_map<KeyDigest, std::size_t> keyIndex;
    CallerLimits callerLimits;
    std::unordered_map<ServiceName, std::size_t> serviceIndex;
    std::size_t longestPath = 0;

    void index();
    const RouteDefinition *longestMatch(std::string_view path, const std::function<bool(const RouteDefinition &)> &accepts) const;
    const RouteDefinition *lookUp(std::string_view prefix, const std::function<bool(const RouteDefinition &)> &accepts) const;
};

namespace {

bool hostMatches(const RouteDefinition &route, std::string_view host)
{
    return route.host.empty() || route.host == host;
}

}

void ConfigSnapshot::Private::index()
{
    for (std::size_t i = 0; i < services.size(); ++i) {
        serviceIndex.emplace(services[i].name, i);
    }
    for (std::size_t i = 0; i < customers.size(); ++i) {
        customerIndex.emplace(customers[i].name, i);
        for (const auto &key : customers[i].keys) {
            keyIndex.emplace(key, i);
        }
    }
    std::sort(routes.begin(), routes.end(), [](const RouteDefinition &left, const RouteDefinition &right) {
        return std::tuple(std::string_view(left.path), left.host.empty()) < std::tuple(std::string_view(right.path), right.host.empty());
    });
    for (const auto &route : routes) {
        longestPath = std::max(longestPath, route.path.size());
    }
}

// Looks up the path, then its prefixes, longest first, so that the time grows with the number of
// path segments and hardly with the number of routes. A path longer than the longest configured one
// is truncated first; otherwise a caller could make each call cost thousands of look-ups.
const RouteDefinition *ConfigSnapshot::Private::longestMatch(std::string_view path, const std::function<bool(const RouteDefinition &)> &accepts) const
{
    if (const auto *exact = lookUp(path, accepts)) {
        return exact;
    }
    auto slash = path.rfind('/', longestPath);
    while (slash != std::string_view::npos) {
        const auto *found = lookUp(path.substr(0, slash + 1), accepts);
        if (found == nullptr && slash > 0) {
            found = lookUp(path.substr(0, slash), accepts);
        }
        if (found != nullptr || slash == 0) {
            return found;
        }
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

const RouteDefinition *ConfigSnapshot::Private::lookUp(std::string_view prefix, const std::function<bool(const RouteDefinition &)> &accepts) const
{
    const auto before = [](const RouteDefinition &route, std::string_view path) { return route.path < path; };
    auto route = std::lower_bound(routes.begin(), routes.end(), prefix, before);
    while (route != routes.end() && route->path == prefix && !accepts(*route)) {
        ++route;
    }
    return route != routes.end() && route->path == prefix ? &*route : nullptr;
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
    return build(std::move(*definitions));
}

Result<std::shared_ptr<const ConfigSnapshot>> ConfigSnapshot::assemble(ConfigDefinitions definitions)
{
    ConfigValidator validator;
    validator.add(std::move(definitions));
    auto checked = validator.finish();
    if (!checked) {
        return tl::unexpected(checked.error());
    }
    return build(std::move(*checked));
}

std::shared_ptr<const ConfigSnapshot> ConfigSnapshot::build(ConfigDefinitions definitions)
{
    std::shared_ptr<ConfigSnapshot> snapshot(new ConfigSnapshot);
    snapshot->d->services = std::move(definitions.services);
    snapshot->d->routes = std::move(definitions.routes);
    snapshot->d->callerLimits = definitions.callerLimits;
    snapshot->d->customers = std::move(definitions.customers);
    snapshot->d->requiresKeys = definitions.requiresKeys;
    snapshot->d->index();
    return snapshot;
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

const std::vector<CustomerDefinition> &ConfigSnapshot::customers() const
{
    return d->customers;
}

bool ConfigSnapshot::requiresKeys() const
{
    return d->requiresKeys;
}

const CustomerDefinition *ConfigSnapshot::customer(const CustomerName &name) const
{
    const auto found = d->customerIndex.find(name);
    return found == d->customerIndex.end() ? nullptr : &d->customers[found->second];
}

const CustomerDefinition *ConfigSnapshot::customerOfKey(const KeyDigest &key) const
{
    const auto found = d->keyIndex.find(key);
    return found == d->keyIndex.end() ? nullptr : &d->customers[found->second];
}

const CallerLimits &ConfigSnapshot::callerLimits() const
{
    return d->callerLimits;
}

const RouteDefinition *ConfigSnapshot::route(std::string_view method, std::string_view path, std::string_view host) const
{
    return d->longestMatch(path, [&](const RouteDefinition &route) {
        const bool anyMethod = route.methods.empty();
        return hostMatches(route, host) && (anyMethod || std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end());
    });
}

bool ConfigSnapshot::hasPath(std::string_view path, std::string_view host) const
{
    return d->longestMatch(path, [&](const RouteDefinition &route) { return hostMatches(route, host); }) != nullptr;
}

bool pathMatches(std::string_view prefix, std::string_view path)
{
    if (path.substr(0, prefix.size()) != prefix) {
        return false;
    }
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

}
