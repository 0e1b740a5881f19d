#include "daemon/calls/targetstatements.h"

namespace Galenahill {

namespace {

// Longest part of a field's value that is logged.
constexpr std::size_t MaxValueBytes = 64;

constexpr const char *Leaving = "1";

std::string valueOf(const HttpResponse &response, const std::string &field)
{
    const auto value = response[field];
    return std::string(value.substr(0, MaxValueBytes));
}

std::vector<std::string> fieldsRead(const CallHeaderNames &names)
{
    return {names.requestId, names.originMarker, names.notExecuted, names.targetId, names.rateLimit, names.leaving};
}

}

TargetStatements::TargetStatements(Options options)
    : m_options(std::move(options))
    , m_ignored(fieldsRead(m_options.headerNames))
{
}

void TargetStatements::read(const HttpResponse &response, const std::string &target, TimePoint sentAt)
{
    logIgnoredFields(response, target);
    readRateLimit(response, target, sentAt);
    readLeaving(response, target);
}

// An invalid value neither states a limit nor lifts one: the target's need is known, its size isn't.
void TargetStatements::readRateLimit(const HttpResponse &response, const std::string &target, TimePoint sentAt)
{
    const auto &field = m_options.headerNames.rateLimit;
    if (field.empty() || !m_options.rateLimitRead) {
        return;
    }
    if (response.count(field) == 0) {
        m_options.rateLimitRead(std::nullopt, sentAt);
        return;
    }
    const auto value = valueOf(response, field);
    if (const auto limit = parseRate(value)) {
        m_options.rateLimitRead(limit, sentAt);
    } else {
        logInvalid(field, value, target);
    }
}

void TargetStatements::readLeaving(const HttpResponse &response, const std::string &target)
{
    const auto &field = m_options.headerNames.leaving;
    if (field.empty() || response.count(field) == 0) {
        return;
    }
    const auto value = valueOf(response, field);
    if (value != Leaving) {
        logInvalid(field, value, target);
    } else if (m_options.leavingRead) {
        m_options.leavingRead();
    }
}

void TargetStatements::logInvalid(const std::string &field, const std::string &value, const std::string &target)
{
    if (value != m_lastInvalid) {
        m_options.log(LogLevel::Warning, "target-field-invalid", {{"field", field}, {"value", value}, {"target", target}});
    }
    m_lastInvalid = value;
}

// Standard fields are left out: those that concern the target are read by the HTTP client.
void TargetStatements::logIgnoredFields(const HttpResponse &response, const std::string &target)
{
    for (const auto &field : response) {
        const auto name = field.name_string();
        if (field.name() != http::field::unknown || !m_ignored.isFirstSeen({name.data(), name.size()})) {
            continue;
        }
        m_options.log(LogLevel::Info,
            "target-field-ignored",
            {{"field", std::string(name)},
                {"value", std::string(field.value().substr(0, MaxValueBytes))},
                {"target", target},
                {"status", response.result_int()}});
    }
}

}
