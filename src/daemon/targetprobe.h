#pragma once

#include "adapters/http/httpclient.h"
#include "core/fleet/memberrecord.h"

#include <functional>
#include <string>

namespace Galenahill {

// Asks a target that doesn't announce itself how it is, and keeps connections to it
// warm.
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
        // Whether to ask no more.
        std::function<bool()> stopped;
        // The target's state after each answer that tells it.
        std::function<void(MemberState)> changed;
    };

    explicit TargetProbe(Options options);

    // Asks until it is stopped.
    asio::awaitable<void> run();

private:
    void answered(const Result<HttpResponse> &answer);
    void setState(MemberState state);

    Options m_options;
    MemberState m_state = MemberState::Starting;
    int m_lost = 0;
    int m_refused = 0;
};

}
