#pragma once

#include "common/error.h"
#include "core/config/configdefinitions.h"
#include "core/config/configdocument.h"
#include "core/config/configerrors.h"
#include "core/config/customervalidator.h"
#include "core/config/sectionreader.h"

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

    void addSection(const FileName &file, const ConfigSection &section);
    void addService(SectionReader &section);
    void readDataCentres(SectionReader &section, ServiceDefinition &service);
    void checkReferences();
    void checkReference(const RouteDefinition &route, const ServiceName &service, const std::vector<std::string> &known);
    void checkServiceNames();
    void checkRouteNames();
    void checkRouteCalls();
    void checkMethods(const RouteDefinition &route, RouteIterator first, RouteIterator last);
    std::vector<const RouteDefinition *> sortedRoutes(const std::function<int(const RouteDefinition &, const RouteDefinition &)> &compare) const;

    ConfigDefinitions m_definitions;
    ConfigErrors m_errors;
    CustomerValidator m_customers{m_errors};
    std::size_t m_totalBytes = 0;
};

}
