#pragma once

#include "common/error.h"
#include "core/config/configdefinitions.h"
#include "core/config/configfile.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Galenahill {

// The parsed and merged content of a complete set of configuration files. It is valid, and all
// references resolve: each route's service is defined in it. Immutable.
class ConfigSnapshot
{
public:
    // Parses and validates the files together. This is the only way from text to a snapshot, used
    // alike for check, for acceptance and on the nodes. On rejection the message has one line per
    // error, each naming file, section, key and remedy.
    static Result<std::shared_ptr<const ConfigSnapshot>> validate(const std::vector<ConfigFile> &files);

    // Builds a snapshot of definitions that don't come from INI files. Checks them against each
    // other as `validate` does; on rejection the message has one line per error.
    static Result<std::shared_ptr<const ConfigSnapshot>> assemble(ConfigDefinitions definitions);

    ~ConfigSnapshot();

    const std::vector<ServiceDefinition> &services() const;
    const std::vector<RouteDefinition> &routes() const;

    // Limits on callers' requests and on the time that they take.
    const CallerLimits &callerLimits() const;

    const std::vector<CustomerDefinition> &customers() const;

    // Whether callers identify themselves by the key of a customer, except on anonymous routes.
    bool requiresKeys() const;

    // The customer of that name, or the one that has the key; null if there is none.
    const CustomerDefinition *customer(const CustomerName &name) const;
    const CustomerDefinition *customerOfKey(const KeyDigest &key) const;

    // The service of that name, or null.
    const ServiceDefinition *service(const ServiceName &name) const;

    // The route for the call: the longest matching path for that host that has the method. Null if
    // there is none.
    const RouteDefinition *route(std::string_view method, std::string_view path, std::string_view host = {}) const;

    // Whether any route of the host matches the path, whatever the method.
    bool hasPath(std::string_view path, std::string_view host = {}) const;

private:
    ConfigSnapshot();
    static std::shared_ptr<const ConfigSnapshot> build(ConfigDefinitions definitions);

    class Private;
    std::unique_ptr<Private> d;
};

// Whether the path equals the prefix or continues it after a slash.
bool pathMatches(std::string_view prefix, std::string_view path);

}
