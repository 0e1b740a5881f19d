#include "core/config/configvalidator.h"

#include "core/config/configlimits.h"
#include "core/config/nearestname.h"
#include "core/config/routereader.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <map>

namespace Galenahill {

namespace {

const std::vector<std::string> SectionTypes = {"service", "route", "customer"};
const std::vector<std::string> ServiceKeys = {"data-centres", "slots", "connections", "health-path"};

}

void ConfigValidator::add(const ConfigFile &file)
{
    if (!isName(file.name.value())) {
        m_errors.add(fmt::format("\"{}\": not a valid file name; use letters, digits, '-', '_' and '.'", file.name.value()));
        return;
    }
    m_totalBytes += file.text.size();
    const auto document = ConfigDocument::parse(file);
    if (!document) {
        m_errors.add(document.error().message);
        return;
    }
    for (const auto &section : document->sections()) {
        addSection(file.name, section);
    }
}

void ConfigValidator::addSection(const FileName &file, const ConfigSection &section)
{
    const auto type = section.name.substr(0, section.name.find(' '));
    SectionReader reader(file, section, m_errors);
    if (std::find(SectionTypes.begin(), SectionTypes.end(), type) == SectionTypes.end()) {
        reader.addError("no such section type; use [service NAME], [route NAME] or [customer NAME]" + suggestion(type, SectionTypes));
    } else if (!isName(reader.name())) {
        reader.addError(fmt::format("needs a name of letters, digits, '-', '_' and '.': write [{} NAME]", type));
    } else if (type == "service") {
        addService(reader);
    } else if (type == "customer") {
        m_definitions.customers.push_back(m_customers.read(reader));
        m_definitions.requiresKeys = true;
    } else if (auto route = RouteReader(reader).read()) {
        m_definitions.routes.push_back(std::move(*route));
    }
}

void ConfigValidator::add(ConfigDefinitions definitions)
{
    m_definitions.callerLimits = definitions.callerLimits;
    if (m_definitions.services.empty() && m_definitions.routes.empty() && m_definitions.customers.empty()) {
        m_definitions = std::move(definitions);
        return;
    }
    std::move(definitions.services.begin(), definitions.services.end(), std::back_inserter(m_definitions.services));
    std::move(definitions.routes.begin(), definitions.routes.end(), std::back_inserter(m_definitions.routes));
    std::move(definitions.customers.begin(), definitions.customers.end(), std::back_inserter(m_definitions.customers));
    m_definitions.requiresKeys = m_definitions.requiresKeys || definitions.requiresKeys;
}

void ConfigValidator::readDataCentres(SectionReader &section, ServiceDefinition &service)
{
    const auto *dataCentres = section.find("data-centres");
    if (dataCentres == nullptr) {
        section.addError("data-centres is missing; list the data centres that have targets, such as 'data-centres = rosario-a, rosario-b'");
        return;
    }
    for (const auto &item : listItems(*dataCentres)) {
        if (!isName(item)) {
            section.addError(fmt::format("data-centres: \"{}\" is not a valid data centre name; separate names with single commas", item));
        }
        if (std::count(service.dataCentres.begin(), service.dataCentres.end(), DataCentre(item)) > 0) {
            section.addError(fmt::format("data-centres: {} is listed twice; remove one", item));
        }
        service.dataCentres.emplace_back(item);
    }
}

void ConfigValidator::addService(SectionReader &section)
{
    section.checkKeys(ServiceKeys);
    ServiceDefinition service;
    service.name = ServiceName(section.name());
    service.file = section.file();
    readDataCentres(section, service);
    if (section.find("slots") == nullptr) {
        section.addError("slots is missing; give the number of calls that one target runs at a time");
    }
    service.slots = static_cast<std::uint32_t>(section.number("slots", 1, ConfigLimits::MaxSlots, 1));
    service.connections = static_cast<std::uint32_t>(section.number("connections", 1, ConfigLimits::MaxConnections, service.slots));
    if (service.connections < service.slots) {
        section.addError(fmt::format("connections = {}: fewer than slots = {}; each slot needs a connection", service.connections, service.slots));
    }
    if (const auto *healthPath = section.find("health-path")) {
        service.healthPath = *healthPath;
        if (healthPath->empty() || healthPath->front() != '/') {
            section.addError(fmt::format("health-path = {}: give a path that begins with '/'", *healthPath));
        }
    }
    m_definitions.services.push_back(std::move(service));
}

void ConfigValidator::checkServiceNames()
{
    std::map<ServiceName, FileName> services;
    for (const auto &service : m_definitions.services) {
        const auto [first, added] = services.emplace(service.name, service.file);
        if (!added) {
            m_errors.add(service.file, "service " + service.name.value(), fmt::format("also defined in {}; remove one of the two", first->second.value()));
        }
    }
}

// Pointers to all routes, with those that compare equal next to each other and in the order of
// their definition. Maps with copies of the names took as much memory as the routes themselves.
std::vector<const RouteDefinition *> ConfigValidator::sortedRoutes(const std::function<int(const RouteDefinition &, const RouteDefinition &)> &compare) const
{
    std::vector<const RouteDefinition *> routes;
    routes.reserve(m_definitions.routes.size());
    for (const auto &route : m_definitions.routes) {
        routes.push_back(&route);
    }
    // The address breaks ties, since a stable sort would need a second buffer.
    std::sort(routes.begin(), routes.end(), [&](const auto *left, const auto *right) {
        const auto order = compare(*left, *right);
        return order != 0 ? order < 0 : left < right;
    });
    return routes;
}

void ConfigValidator::checkRouteNames()
{
    const auto compare = [](const RouteDefinition &left, const RouteDefinition &right) { return left.name.value().compare(right.name.value()); };
    const RouteDefinition *first = nullptr;
    for (const auto *route : sortedRoutes(compare)) {
        if (first != nullptr && first->name == route->name) {
            m_errors.add(route->file, "route " + route->name.value(), fmt::format("also defined in {}; remove or rename one of the two", first->file.value()));
        } else {
            first = route;
        }
    }
}

void ConfigValidator::checkRouteCalls()
{
    const auto compare = [](const RouteDefinition &left, const RouteDefinition &right) {
        const auto byPath = left.path.compare(right.path);
        return byPath != 0 ? byPath : left.host.compare(right.host);
    };
    const auto routes = sortedRoutes(compare);
    auto group = routes.begin();
    for (auto route = routes.begin(); route != routes.end(); ++route) {
        if (compare(**group, **route) != 0) {
            group = route;
        }
        checkMethods(**route, group, route);
    }
}

// Finds the first route with the same host and path that already has one of this route's methods.
void ConfigValidator::checkMethods(const RouteDefinition &route, RouteIterator first, RouteIterator last)
{
    static const std::vector<std::string> anyMethod = {"any method"};
    const auto methodsOf = [](const RouteDefinition &of) -> const std::vector<std::string> & { return of.methods.empty() ? anyMethod : of.methods; };
    for (const auto &method : methodsOf(route)) {
        const auto other = std::find_if(first, last, [&](const RouteDefinition *candidate) {
            const auto &methods = methodsOf(*candidate);
            return std::find(methods.begin(), methods.end(), method) != methods.end();
        });
        if (other != last && (*other)->name != route.name) {
            m_errors.add(route.file,
                "route " + route.name.value(),
                fmt::format("path = {}: {} is already taken by [route {}] in {}; change the path or the methods",
                    route.path,
                    method,
                    (*other)->name.value(),
                    (*other)->file.value()));
        }
    }
}

void ConfigValidator::checkReferences()
{
    std::vector<std::string> names;
    for (const auto &service : m_definitions.services) {
        names.push_back(service.name.value());
    }
    std::sort(names.begin(), names.end());
    for (const auto &route : m_definitions.routes) {
        if (route.split.empty()) {
            checkReference(route, route.service, names);
        }
        for (const auto &part : route.split) {
            checkReference(route, part.service, names);
        }
    }
}

void ConfigValidator::checkReference(const RouteDefinition &route, const ServiceName &service, const std::vector<std::string> &known)
{
    if (std::binary_search(known.begin(), known.end(), service.value())) {
        return;
    }
    // Finding the nearest of thousands of names takes long, so it is skipped for errors that aren't
    // listed.
    const bool listed = !m_errors.full();
    m_errors.add(route.file,
        "route " + route.name.value(),
        fmt::format("service = {}: no such service{}; define [service {}] or name an existing one",
            service.value(),
            listed ? suggestion(service.value(), known) : std::string(),
            service.value()));
}

Result<ConfigDefinitions> ConfigValidator::finish()
{
    checkServiceNames();
    checkRouteNames();
    checkRouteCalls();
    checkReferences();
    m_customers.check(m_definitions.customers);
    if (m_totalBytes > ConfigLimits::MaxTotalBytes) {
        m_errors.add(fmt::format("all files: {} bytes in total, the limit is {}; remove files that aren't needed", m_totalBytes, ConfigLimits::MaxTotalBytes));
    }
    if (!m_errors.empty()) {
        return failure(ErrorKind::Invalid, m_errors.message());
    }
    return std::move(m_definitions);
}

}
