#pragma once

#include "common/error.h"
#include "core/config/configdefinitions.h"
#include "core/config/configfile.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Galenahill {

// The merged meaning of a whole set of configuration files, valid and closed
// under references: each route's service is defined in it. Immutable.
class ConfigSnapshot
{
public:
    // Parses and validates the files together. This is the only way from text
    // to a snapshot, for check, acceptance and node alike. On refusal the
    // message has one line per fault, each naming file, section, key and
    // remedy.
    static Result<std::shared_ptr<const ConfigSnapshot>> validate(const std::vector<ConfigFile> &files);

    // The snapshot of definitions that come from elsewhere than INI files.
    // Checks them against each other as `validate` does; on refusal the message
    // has one line per fault.
    static Result<std::shared_ptr<const ConfigSnapshot>> assemble(ConfigDefinitions definitions);

    ~ConfigSnapshot();

    const std::vector<ServiceDefinition> &services() const;
    const std::vector<RouteDefinition> &routes() const;

    // What callers may send, and how long they may take.
    const CallerLimits &callerLimits() const;

    // The service of that name, or null.
    const ServiceDefinition *service(const ServiceName &name) const;

    // The route that takes the call: the longest matching path of that host
    // that has the method. Null if none has.
    const RouteDefinition *route(std::string_view method, std::string_view path, std::string_view host = {}) const;

    // Whether any route of the host has the path, whatever the method.
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
