#pragma once

#include "common/error.h"
#include "core/config/configfile.h"
#include "core/config/routedefinition.h"
#include "core/config/servicedefinition.h"

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

    ~ConfigSnapshot();

    const std::vector<ServiceDefinition> &services() const;
    const std::vector<RouteDefinition> &routes() const;

    // The service of that name, or null.
    const ServiceDefinition *service(const ServiceName &name) const;

    // The route that takes the call: the longest matching path that has the
    // method. Null if none has.
    const RouteDefinition *route(std::string_view method, std::string_view path) const;

    // Whether any route has the path, whatever the method.
    bool hasPath(std::string_view path) const;

private:
    ConfigSnapshot();

    class Private;
    std::unique_ptr<Private> d;
};

// Whether the path equals the prefix or continues it after a slash.
bool pathMatches(std::string_view prefix, std::string_view path);

}
