#pragma once

#include "adapters/http/httpclient.h"
#include "core/calls/callheadernames.h"

#include <cstdint>
#include <string>

namespace Galenahill {

// Sends nested calls of a target stand-in through the ingress of the node on its VM, on connections that it keeps.
class NestedCaller
{
public:
    struct Options
    {
        Endpoint ingress;
        // Part of the ids of the calls, which must differ between targets: a parent call may run at several.
        std::string targetId;
        // Value of the Host field, and path of each call.
        std::string host;
        std::string path;
        CallHeaderNames headerNames;
    };

    NestedCaller(asio::io_context &context, Options options);

    // Sends a call for a parent call, waits at most for its timeout, and returns what the caller saw of it: "called ID
    // PATH TIMEOUT_MS SENT_MICROSECONDS END OUTCOME STATUS BYTES TARGET". END is "response", "unsent", "closed" or
    // "timed-out", OUTCOME "answered", "not-run", "unknown" or "mismatched"; TARGET is "-" if the response names none.
    asio::awaitable<std::string> call(std::string parent);

private:
    Options m_options;
    HttpClient m_client;
    std::uint64_t m_calls = 0;
};

}
