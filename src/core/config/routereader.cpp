#include "core/config/routereader.h"

#include "core/config/configlimits.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <charconv>
#include <fmt/format.h>

namespace Galenahill {

namespace {

const std::vector<std::string> RouteKeys = {"host",
    "path",
    "methods",
    "service",
    "split",
    "idempotent",
    "large-bodies",
    "large-responses",
    "anonymous",
    "timeout-ms",
    "retries",
    "max-targets",
    "priority",
    "slo-availability",
    "slo-latency-ms"};
const std::vector<std::string> KnownMethods = {"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"};

}

RouteReader::RouteReader(SectionReader &section)
    : m_section(section)
{
}

void RouteReader::readHost()
{
    const auto *host = m_section.find("host");
    if (host == nullptr) {
        return;
    }
    if (!isName(*host)) {
        m_section.addError(fmt::format("host = {}: give the name that calls carry in Host, without a port", *host));
    }
    m_route.host = *host;
}

// Written as "NAME WEIGHT, NAME WEIGHT"; `service` must name the first service.
void RouteReader::readSplit()
{
    const auto *split = m_section.find("split");
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
            m_section.addError(
                fmt::format("split: \"{}\": give parts as NAME WEIGHT with a weight from 1 to {}, separated by commas", item, ConfigLimits::MaxWeight));
            return;
        }
        m_route.split.push_back({ServiceName(name), static_cast<double>(weight)});
    }
    if (m_route.split.front().service != m_route.service) {
        m_section.addError(fmt::format("split: begin with service = {}, which the route names first", m_route.service.value()));
    }
}

void RouteReader::readPath()
{
    m_route.path = *m_section.find("path");
    const auto forbidden = [](unsigned char c) { return c <= ' ' || c == '?' || c == '#' || c > 126; };
    if (m_route.path.empty() || m_route.path.front() != '/' || std::any_of(m_route.path.begin(), m_route.path.end(), forbidden)
        || m_route.path.find("//") != std::string::npos) {
        m_section.addError(fmt::format("path = {}: give a path that begins with '/', without blanks, '?', '#' or '//'", m_route.path));
    } else if (m_route.path.size() > 1 && m_route.path.back() == '/') {
        // With the slash, the route would match /x/y but not /x, and take precedence over a route
        // for /x that looks the same.
        m_section.addError(fmt::format("path = {}: remove the slash at the end; a route matches its path and all paths below it", m_route.path));
    } else if (m_route.path.find_first_of("*{}[]()^$\\|<>\"") != std::string::npos || m_route.path.find("/:") != std::string::npos) {
        m_section.addError(fmt::format("path = {}: patterns aren't supported; give the path prefix that all calls share", m_route.path));
    } else if ((m_route.path + "/").find("/./") != std::string::npos || (m_route.path + "/").find("/../") != std::string::npos) {
        m_section.addError(fmt::format("path = {}: write the path without '.' and '..'", m_route.path));
    }
}

void RouteReader::readMethods()
{
    for (const auto &method : listItems(*m_section.find("methods"))) {
        if (std::find(KnownMethods.begin(), KnownMethods.end(), method) == KnownMethods.end()) {
            m_section.addError(fmt::format("methods: \"{}\" is not a known method; the methods are {}", method, fmt::join(KnownMethods, ", ")));
        } else if (std::find(m_route.methods.begin(), m_route.methods.end(), method) != m_route.methods.end()) {
            m_section.addError(fmt::format("methods: {} is listed twice; remove one", method));
        } else {
            m_route.methods.push_back(method);
        }
    }
}

void RouteReader::readIdempotent()
{
    const auto &idempotent = *m_section.find("idempotent");
    if (idempotent != "yes" && idempotent != "no") {
        m_section.addError(fmt::format("idempotent = {}: write yes if a repeated call does no harm, else no", idempotent));
    }
    m_route.type = idempotent == "yes" ? CallType::Idempotent : CallType::NonIdempotent;
    // A read route that was copied for payments keeps its "yes", and a lost response then runs a
    // payment twice. HTTP doesn't define these methods as idempotent, so no file may declare them
    // to be.
    for (const std::string method : {"POST", "PATCH"}) {
        if (m_route.idempotent() && std::find(m_route.methods.begin(), m_route.methods.end(), method) != m_route.methods.end()) {
            m_section.addError(
                fmt::format("idempotent = yes: {} calls are never run again; give {} a route of its own with 'idempotent = no'", method, method));
        }
    }
}

// A large body doesn't change whether the call may be retried, but the body is gone with the first
// attempt that received it.
void RouteReader::readLargeBodies()
{
    const auto *large = m_section.find("large-bodies");
    if (large == nullptr || *large == "no") {
        return;
    }
    if (*large != "yes") {
        m_section.addError(fmt::format("large-bodies = {}: write yes if calls carry bodies of tens of kilobytes or more, else no", *large));
    } else if (m_route.idempotent()) {
        m_section.addError("large-bodies = yes: uploads are never run again; write 'idempotent = no', or remove large-bodies");
    } else {
        m_route.type = CallType::Upload;
    }
}

void RouteReader::readLargeResponses()
{
    if (!m_section.flag("large-responses", "responses have tens of kilobytes or more")) {
        return;
    }
    if (m_route.idempotent()) {
        m_route.type = CallType::LargeResponse;
    } else {
        // The response may break off on its way, and is then only complete if the call runs again.
        m_section.addError(
            "large-responses = yes: needs calls that may run again; write 'idempotent = yes' if repeating does no harm, or remove large-responses");
    }
}

void RouteReader::checkObjectives()
{
    if (m_route.sloLatency > m_route.timeout) {
        m_section.addError(
            fmt::format("slo-latency-ms = {}: above timeout-ms = {}, so no call could miss it; lower it", m_route.sloLatency.count(), m_route.timeout.count()));
    }
    if (m_route.sloLatency.count() > 0 && m_route.sloAvailability == 0) {
        m_section.addError("slo-latency-ms: needs slo-availability, the share of calls that should be as fast; add it, such as 99.9");
    }
}

std::optional<RouteDefinition> RouteReader::read()
{
    m_section.checkKeys(RouteKeys);
    for (const std::string key : {"path", "methods", "service", "idempotent", "timeout-ms"}) {
        if (m_section.find(key) == nullptr) {
            m_section.addError(fmt::format("{} is missing; each route gives path, methods, service, idempotent and timeout-ms", key));
            return std::nullopt;
        }
    }
    m_route.name = RouteName(m_section.name());
    m_route.file = m_section.file();
    m_route.service = ServiceName(*m_section.find("service"));
    readHost();
    readSplit();
    readPath();
    readMethods();
    readIdempotent();
    readLargeBodies();
    readLargeResponses();
    m_route.anonymous = m_section.flag("anonymous", "calls need no key of a customer");
    m_route.timeout = Milliseconds(m_section.number("timeout-ms", ConfigLimits::MinTimeout.count(), ConfigLimits::MaxTimeout.count(), 1000));
    m_route.retries = static_cast<std::uint32_t>(m_section.number("retries", 0, ConfigLimits::MaxRetries, 0));
    if (!m_route.idempotent() && m_route.retries > 0) {
        m_section.addError(
            fmt::format("retries = {}: a route that isn't idempotent is never run again; remove retries, or write 'idempotent = yes' if repeating does no harm",
                m_route.retries));
    }
    m_route.maxTargets = static_cast<std::uint32_t>(m_section.number("max-targets", 1, ConfigLimits::MaxTargets, m_route.maxTargets));
    m_route.priority = static_cast<std::uint32_t>(m_section.number("priority", 0, ConfigLimits::MaxPriority, 0));
    m_route.sloAvailability = m_section.percentage("slo-availability");
    m_route.sloLatency = Milliseconds(m_section.number("slo-latency-ms", 1, ConfigLimits::MaxTimeout.count(), 0));
    checkObjectives();
    return std::move(m_route);
}

}
