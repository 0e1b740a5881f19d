#pragma once

#include "adapters/http/httpmessage.h"
#include "core/calls/callheadernames.h"
#include "core/calls/ignoredfields.h"
#include "core/calls/statedratelimit.h"
#include "ports/logger.h"

#include <functional>
#include <optional>
#include <string>

namespace Galenahill {

// Reads what a target states about itself in the header fields of its responses.
class TargetStatements
{
public:
    struct Options
    {
        CallHeaderNames headerNames;
        Logger log;
        // Called for each response with the rate limit that it states, or none. Not called if the
        // field has an invalid value.
        std::function<void(std::optional<CallsPerSecond> limit, TimePoint sentAt)> rateLimitRead;
        // Called if a response states that the target is leaving.
        std::function<void()> leavingRead;
    };

    explicit TargetStatements(Options options);

    // Processes a response that the target with that id itself produced, to a request that was sent
    // at `sentAt`.
    void read(const HttpResponse &response, const std::string &target, TimePoint sentAt);

private:
    void readRateLimit(const HttpResponse &response, const std::string &target, TimePoint sentAt);
    void readLeaving(const HttpResponse &response, const std::string &target);
    void logInvalid(const std::string &field, const std::string &value, const std::string &target);
    void logIgnoredFields(const HttpResponse &response, const std::string &target);

    Options m_options;
    IgnoredFields m_ignored;
    // The last invalid value; each of a series of equal ones would be logged otherwise.
    std::string m_lastInvalid;
};

}
