#include "daemon/targetstatements.h"

namespace Galenahill {

namespace {

// Longest part of a field's value that is logged.
constexpr std::size_t MaxValueBytes = 64;

std::vector<std::string> fieldsRead(const CallHeaderNames &names)
{
    return {names.requestId, names.originMarker, names.notExecuted, names.targetId};
}

}

TargetStatements::TargetStatements(Options options)
    : m_options(std::move(options))
    , m_ignored(fieldsRead(m_options.headerNames))
{
}

void TargetStatements::read(const HttpResponse &response, const std::string &target)
{
    logIgnoredFields(response, target);
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
