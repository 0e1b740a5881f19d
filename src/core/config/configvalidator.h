#pragma once

#include "common/error.h"
#include "core/config/configdefinitions.h"
#include "core/config/configdocument.h"

#include <functional>
#include <string>
#include <vector>

namespace Galenahill {

// Checks each file, then the files against each other. All errors are collected, so that an
// operator can fix a file in one pass.
class ConfigValidator
{
public:
    void add(const ConfigFile &file);

    // Adds definitions that don't come from a file.
    void add(ConfigDefinitions definitions);

    // The definitions, or Invalid with one line per error.
    Result<ConfigDefinitions> finish();

private:
    using RouteIterator = std::vector<const RouteDefinition *>::const_iterator;

    void addService(const FileName &file, const ConfigSection &section);
    void addRoute(const FileName &file, const ConfigSection &section);
    void readDataCentres(const FileName &file, const ConfigSection &section, ServiceDefinition &service);
    void readHost(const FileName &file, const ConfigSection &section, RouteDefinition &route);
    void readSplit(const FileName &file, const ConfigSection &section, RouteDefinition &route);
    void readPath(const FileName &file, const ConfigSection &section, RouteDefinition &route);
    void readMethods(const FileName &file, const ConfigSection &section, RouteDefinition &route);
    void readIdempotent(const FileName &file, const ConfigSection &section, RouteDefinition &route);
    void readLargeBodies(const FileName &file, const ConfigSection &section, RouteDefinition &route);
    void checkObjectives(const ConfigSection &section, const RouteDefinition &route);
    void checkReferences();
    void checkReference(const RouteDefinition &route, const ServiceName &service, const std::vector<std::string> &known);
    void checkServiceNames();
    void checkRouteNames();
    void checkRouteCalls();
    void checkMethods(const RouteDefinition &route, RouteIterator first, RouteIterator last);
    std::vector<const RouteDefinition *> sortedRoutes(const std::function<int(const RouteDefinition &, const RouteDefinition &)> &compare) const;
    void checkKeys(const FileName &file, const ConfigSection &section, const std::vector<std::string> &known);
    std::uint64_t number(
        const FileName &file, const ConfigSection &section, const std::string &key, std::uint64_t min, std::uint64_t max, std::uint64_t fallback);
    double percentage(const FileName &file, const ConfigSection &section, const std::string &key);
    void addError(const FileName &file, const std::string &section, const std::string &text);
    void addError(std::string text);

    ConfigDefinitions m_definitions;
    std::vector<std::string> m_errors;
    std::size_t m_errorCount = 0;
    std::size_t m_totalBytes = 0;
};

}
