#include "core/config/configvalidator.h"

#include "core/config/configlimits.h"
#include "core/config/nearestname.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <charconv>
#include <fmt/format.h>
#include <iterator>
#include <map>

namespace Galenahill {

namespace {

const std::vector<std::string> ServiceKeys = {"data-centres", "slots", "connections", "health-path"};
const std::vector<std::string> RouteKeys = {"host",
    "path",
    "methods",
    "service",
    "split",
    "idempotent",
    "large-bodies",
    "timeout-ms",
    "retries",
    "max-targets",
    "priority",
    "slo-availability",
    "slo-latency-ms"};
const std::vector<std::string> KnownMethods = {"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"};

// Splits a comma-separated list and trims blanks; an empty item is kept so that a stray comma is
// reported.
std::vector<std::string> listItems(const std::string &value)
{
    std::vector<std::string> items;
    boost::split(items, value, boost::is_any_of(","));
    for (auto &item : items) {
        boost::trim(item);
    }
    return items;
}

// The name in "[service NAME]"; empty if there is none.
std::string sectionName(const ConfigSection &section)
{
    const auto space = section.name.find(' ');
    return space == std::string::npos ? std::string() : boost::trim_copy(section.name.substr(space));
}

bool isName(const std::string &text)
{
    const auto allowed = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= ConfigLimits::MaxFileNameLength && std::all_of(text.begin(), text.end(), allowed);
}

}

void ConfigValidator::addError(const FileName &file, const std::string &section, const std::string &text)
{
    addError(fmt::format("{} [{}] {}", file.value(), section, text));
}

void ConfigValidator::addError(std::string text)
{
    ++m_errorCount;
    if (m_errors.size() < ConfigLimits::MaxErrors) {
        m_errors.push_back(std::move(text));
    }
}

void ConfigValidator::add(const ConfigFile &file)
{
    if (!isName(file.name.value())) {
        addError(fmt::format("\"{}\": not a valid file name; use letters, digits, '-', '_' and '.'", file.name.value()));
        return;
    }
    m_totalBytes += file.text.size();
    const auto document = ConfigDocument::parse(file);
    if (!document) {
        addError(document.error().message);
        return;
    }
    for (const auto &section : document->sections()) {
        const auto space = section.name.find(' ');
        const auto type = section.name.substr(0, space);
        const auto name = sectionName(section);
        if (type != "service" && type != "route") {
            addError(file.name, section.name, "no such section type; use [service NAME] or [route NAME]" + suggestion(type, {"service", "route"}));
            continue;
        }
        if (!isName(name)) {
            addError(file.name, section.name, fmt::format("needs a name of letters, digits, '-', '_' and '.': write [{} NAME]", type));
            continue;
        }
        if (type == "service") {
            addService(file.name, section);
        } else {
            addRoute(file.name, section);
        }
    }
}

void ConfigValidator::add(ConfigDefinitions definitions)
{
    m_definitions.callerLimits = definitions.callerLimits;
    if (m_definitions.services.empty() && m_definitions.routes.empty()) {
        m_definitions = std::move(definitions);
        return;
    }
    std::move(definitions.services.begin(), definitions.services.end(), std::back_inserter(m_definitions.services));
    std::move(definitions.routes.begin(), definitions.routes.end(), std::back_inserter(m_definitions.routes));
}

void ConfigValidator::checkKeys(const FileName &file, const ConfigSection &section, const std::vector<std::string> &known)
{
    for (const auto &[key, value] : section.entries) {
        if (std::find(known.begin(), known.end(), key) == known.end()) {
            addError(file, section.name, fmt::format("{}: no such key{}; the keys are {}", key, suggestion(key, known), fmt::join(known, ", ")));
        }
    }
}

std::uint64_t ConfigValidator::number(
    const FileName &file, const ConfigSection &section, const std::string &key, std::uint64_t min, std::uint64_t max, std::uint64_t fallback)
{
    const auto *value = section.find(key);
    if (value == nullptr) {
        return fallback;
    }
    std::uint64_t result = 0;
    const auto *end = value->data() + value->size();
    const auto parsed = std::from_chars(value->data(), end, result);
    if (parsed.ec != std::errc() || parsed.ptr != end || result < min || result > max) {
        addError(file, section.name, fmt::format("{} = {}: give a whole number from {} to {}, alone on the line", key, *value, min, max));
        return fallback;
    }
    return result;
}

double ConfigValidator::percentage(const FileName &file, const ConfigSection &section, const std::string &key)
{
    const auto *value = section.find(key);
    if (value == nullptr) {
        return 0;
    }
    double result = 0;
    const auto *end = value->data() + value->size();
    const auto parsed = std::from_chars(value->data(), end, result);
    if (parsed.ec != std::errc() || parsed.ptr != end || !(result >= 1 && result < 100)) {
        addError(file, section.name, fmt::format("{} = {}: give a percentage from 1 to below 100, such as 99.9", key, *value));
        return 0;
    }
    return result;
}

void ConfigValidator::readDataCentres(const FileName &file, const ConfigSection &section, ServiceDefinition &service)
{
    const auto *dataCentres = section.find("data-centres");
    if (dataCentres == nullptr) {
        addError(file, section.name, "data-centres is missing; list the data centres that have targets, such as 'data-centres = rosario-a, rosario-b'");
        return;
    }
    for (const auto &item : listItems(*dataCentres)) {
        if (!isName(item)) {
            addError(file, section.name, fmt::format("data-centres: \"{}\" is not a valid data centre name; separate names with single commas", item));
        }
        if (std::count(service.dataCentres.begin(), service.dataCentres.end(), DataCentre(item)) > 0) {
            addError(file, section.name, fmt::format("data-centres: {} is listed twice; remove one", item));
        }
        service.dataCentres.emplace_back(item);
    }
}

void ConfigValidator::addService(const FileName &file, const ConfigSection &section)
{
    checkKeys(file, section, ServiceKeys);
    ServiceDefinition service;
    service.name = ServiceName(sectionName(section));
    service.file = file;
    readDataCentres(file, section, service);
    if (section.find("slots") == nullptr) {
        addError(file, section.name, "slots is missing; give the number of calls that one target runs at a time");
    }
    service.slots = static_cast<std::uint32_t>(number(file, section, "slots", 1, ConfigLimits::MaxSlots, 1));
    service.connections = static_cast<std::uint32_t>(number(file, section, "connections", 1, ConfigLimits::MaxConnections, service.slots));
    if (service.connections < service.slots) {
        addError(file, section.name, fmt::format("connections = {}: fewer than slots = {}; each slot needs a connection", service.connections, service.slots));
    }
    if (const auto *healthPath = section.find("health-path")) {
        service.healthPath = *healthPath;
        if (healthPath->empty() || healthPath->front() != '/') {
            addError(file, section.name, fmt::format("health-path = {}: give a path that begins with '/'", *healthPath));
        }
    }
    m_definitions.services.push_back(std::move(service));
}

void ConfigValidator::readHost(const FileName &file, const ConfigSection &section, RouteDefinition &route)
{
    const auto *host = section.find("host");
    if (host == nullptr) {
        return;
    }
    if (!isName(*host)) {
        addError(file, section.name, fmt::format("host = {}: give the name that calls carry in Host, without a port", *host));
    }
    route.host = *host;
}

// Written as "NAME WEIGHT, NAME WEIGHT"; `service` must name the first service.
void ConfigValidator::readSplit(const FileName &file, const ConfigSection &section, RouteDefinition &route)
{
    const auto *split = section.find("split");
    if (split == nullptr) {
        return;
    }
    for (const auto &item : listItems(*split)) {
        const auto space = item.find(' ');
        const auto name = item.substr(0, space);
        const auto digits = space == std::string::npos ? std::string() : boost::trim_copy(item.substr(space));
        std::uint32_t weight = 0;
        const auto *end = digits.data() + digits.size();
        const auto parsed = std::from_chars(digits.data(), end, weight);
        if (!isName(name) || parsed.ec != std::errc() || parsed.ptr != end || weight == 0 || weight > ConfigLimits::MaxWeight) {
            addError(file,
                section.name,
                fmt::format("split: \"{}\": give parts as NAME WEIGHT with a weight from 1 to {}, separated by commas", item, ConfigLimits::MaxWeight));
            return;
        }
        route.split.push_back({ServiceName(name), weight});
    }
    if (route.split.front().service != route.service) {
        addError(file, section.name, fmt::format("split: begin with service = {}, which the route names first", route.service.value()));
    }
}

void ConfigValidator::readPath(const FileName &file, const ConfigSection &section, RouteDefinition &route)
{
    route.path = *section.find("path");
    const auto forbidden = [](unsigned char c) { return c <= ' ' || c == '?' || c == '#' || c > 126; };
    if (route.path.empty() || route.path.front() != '/' || std::any_of(route.path.begin(), route.path.end(), forbidden)
        || route.path.find("//") != std::string::npos) {
        addError(file, section.name, fmt::format("path = {}: give a path that begins with '/', without blanks, '?', '#' or '//'", route.path));
    } else if (route.path.size() > 1 && route.path.back() == '/') {
        // With the slash, the route would match /x/y but not /x, and take precedence over a route
        // for /x that looks the same.
        addError(file, section.name, fmt::format("path = {}: remove the slash at the end; a route matches its path and all paths below it", route.path));
    } else if (route.path.find_first_of("*{}[]()^$\\|<>\"") != std::string::npos || route.path.find("/:") != std::string::npos) {
        addError(file, section.name, fmt::format("path = {}: patterns aren't supported; give the path prefix that all calls share", route.path));
    } else if ((route.path + "/").find("/./") != std::string::npos || (route.path + "/").find("/../") != std::string::npos) {
        addError(file, section.name, fmt::format("path = {}: write the path without '.' and '..'", route.path));
    }
}

void ConfigValidator::readMethods(const FileName &file, const ConfigSection &section, RouteDefinition &route)
{
    for (const auto &method : listItems(*section.find("methods"))) {
        if (std::find(KnownMethods.begin(), KnownMethods.end(), method) == KnownMethods.end()) {
            addError(file, section.name, fmt::format("methods: \"{}\" is not a known method; the methods are {}", method, fmt::join(KnownMethods, ", ")));
        } else if (std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end()) {
            addError(file, section.name, fmt::format("methods: {} is listed twice; remove one", method));
        } else {
            route.methods.push_back(method);
        }
    }
}

void ConfigValidator::readIdempotent(const FileName &file, const ConfigSection &section, RouteDefinition &route)
{
    const auto &idempotent = *section.find("idempotent");
    if (idempotent != "yes" && idempotent != "no") {
        addError(file, section.name, fmt::format("idempotent = {}: write yes if a repeated call does no harm, else no", idempotent));
    }
    route.type = idempotent == "yes" ? CallType::Idempotent : CallType::NonIdempotent;
    // A read route that was copied for payments keeps its "yes", and a lost response then runs a
    // payment twice. HTTP doesn't define these methods as idempotent, so no file may declare them
    // to be.
    for (const std::string method : {"POST", "PATCH"}) {
        if (route.idempotent() && std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end()) {
            addError(file,
                section.name,
                fmt::format("idempotent = yes: {} calls are never run again; give {} a route of its own with 'idempotent = no'", method, method));
        }
    }
}

// A large body doesn't change whether the call may be retried, but the body is gone with the first
// attempt that received it.
void ConfigValidator::readLargeBodies(const FileName &file, const ConfigSection &section, RouteDefinition &route)
{
    const auto *large = section.find("large-bodies");
    if (large == nullptr || *large == "no") {
        return;
    }
    if (*large != "yes") {
        addError(file, section.name, fmt::format("large-bodies = {}: write yes if calls carry bodies of tens of kilobytes or more, else no", *large));
    } else if (route.idempotent()) {
        addError(file, section.name, "large-bodies = yes: uploads are never run again; write 'idempotent = no', or remove large-bodies");
    } else {
        route.type = CallType::Upload;
    }
}

void ConfigValidator::checkObjectives(const ConfigSection &section, const RouteDefinition &route)
{
    if (route.sloLatency > route.timeout) {
        addError(route.file,
            section.name,
            fmt::format("slo-latency-ms = {}: above timeout-ms = {}, so no call could miss it; lower it", route.sloLatency.count(), route.timeout.count()));
    }
    if (route.sloLatency.count() > 0 && route.sloAvailability == 0) {
        addError(route.file, section.name, "slo-latency-ms: needs slo-availability, the share of calls that should be as fast; add it, such as 99.9");
    }
}

void ConfigValidator::addRoute(const FileName &file, const ConfigSection &section)
{
    checkKeys(file, section, RouteKeys);
    for (const std::string key : {"path", "methods", "service", "idempotent", "timeout-ms"}) {
        if (section.find(key) == nullptr) {
            addError(file, section.name, fmt::format("{} is missing; each route gives path, methods, service, idempotent and timeout-ms", key));
            return;
        }
    }
    RouteDefinition route;
    route.name = RouteName(sectionName(section));
    route.file = file;
    route.service = ServiceName(*section.find("service"));
    readHost(file, section, route);
    readSplit(file, section, route);
    readPath(file, section, route);
    readMethods(file, section, route);
    readIdempotent(file, section, route);
    readLargeBodies(file, section, route);
    route.timeout = Milliseconds(number(file, section, "timeout-ms", ConfigLimits::MinTimeout.count(), ConfigLimits::MaxTimeout.count(), 1000));
    route.retries = static_cast<std::uint32_t>(number(file, section, "retries", 0, ConfigLimits::MaxRetries, 0));
    if (!route.idempotent() && route.retries > 0) {
        addError(file,
            section.name,
            fmt::format("retries = {}: a route that isn't idempotent is never run again; remove retries, or write 'idempotent = yes' if repeating does no harm",
                route.retries));
    }
    route.maxTargets = static_cast<std::uint32_t>(number(file, section, "max-targets", 1, ConfigLimits::MaxTargets, route.maxTargets));
    route.priority = static_cast<std::uint32_t>(number(file, section, "priority", 0, ConfigLimits::MaxPriority, 0));
    route.sloAvailability = percentage(file, section, "slo-availability");
    route.sloLatency = Milliseconds(number(file, section, "slo-latency-ms", 1, ConfigLimits::MaxTimeout.count(), 0));
    checkObjectives(section, route);
    m_definitions.routes.push_back(std::move(route));
}

void ConfigValidator::checkServiceNames()
{
    std::map<ServiceName, FileName> services;
    for (const auto &service : m_definitions.services) {
        const auto [first, added] = services.emplace(service.name, service.file);
        if (!added) {
            addError(service.file, "service " + service.name.value(), fmt::format("also defined in {}; remove one of the two", first->second.value()));
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
            addError(route->file, "route " + route->name.value(), fmt::format("also defined in {}; remove or rename one of the two", first->file.value()));
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
            addError(route.file,
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
    const bool listed = m_errors.size() < ConfigLimits::MaxErrors;
    addError(route.file,
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
    if (m_totalBytes > ConfigLimits::MaxTotalBytes) {
        addError(fmt::format("all files: {} bytes in total, the limit is {}; remove files that aren't needed", m_totalBytes, ConfigLimits::MaxTotalBytes));
    }
    if (!m_errors.empty()) {
        if (m_errorCount > m_errors.size()) {
            m_errors.push_back(fmt::format("and {} more errors; fix these first", m_errorCount - m_errors.size()));
        }
        return failure(ErrorKind::Invalid, fmt::format("{}", fmt::join(m_errors, "\n")));
    }
    return std::move(m_definitions);
}

}
