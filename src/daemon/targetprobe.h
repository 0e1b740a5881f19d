#pragma once

#include "adapters/http/httpclient.h"
#include "core/fleet/memberrecord.h"

#include <functional>
#include <string>

namespace Galenahill {

// Limit for the body of a response to a health check.
inline constexpr std::uint64_t MaxHealthCheckBytes = 1024 * 1024;

// Health checker for a target that does not announce itself. Also keeps idle connections to it open.
class TargetProbe
{
public:
    struct Options
    {
        asio::io_context &context;
        HttpClient &client;
        Endpoint target;
        // Path of the health check.
        std::string path;
        // Whether to stop the health checks.
        std::function<bool()> stopped;
        // Called with the target's state after each check that determines it.
        std::function<void(MemberState)> changed;
    };

    explicit TargetProbe(Options options);

    // Checks the target periodically until stopped.
    asio::awaitable<void> run();

private:
    void processResponse(const Result<HttpResponse> &response);
    void setState(MemberState state);

    Options m_options;
    MemberState m_state = MemberState::Starting;
    int m_unanswered = 0;
    int m_notReady = 0;
};

}
