#pragma once

#include "loadgenerator.h"

#include <functional>

namespace Galenahill {

// Callers that keep connections to each ingress open until the process is gone, and send the next requests
// on them before the response to the last one has arrived. They record each call as LoadGenerator does.
class PipeliningCallers
{
public:
    struct Options
    {
        // Where callers connect to each ingress; may be proxies.
        std::vector<Endpoint> ingresses;
        // Kinds of idempotent calls without a body.
        std::vector<LoadGenerator::CallKind> kinds;
        std::size_t connectionsPerIngress = 2;
        // Requests of a connection that are sent and not answered.
        std::size_t ahead = 2;
        // Longest pause before the next request.
        Milliseconds maxPause{100};
        // Receive buffer of each connection in bytes; zero leaves it to the system. With one, callers read in parts of that
        // size, with the pause in between.
        int receiveBuffer = 0;
        Milliseconds readPause{0};
        Milliseconds timeout{5000};
        // How long callers send.
        Milliseconds length{10000};
        std::uint64_t seed = 1;
        std::string idPrefix = "p";
        CallHeaderNames headerNames;
        std::string host;
        // Whether a proxy accepted the connection from that local port, which the ingress refused: its calls count as not sent.
        // Null: there are no proxies.
        std::function<bool(std::size_t ingress, std::uint16_t localPort)> wasRefused;
        // Called with each call once the header and a part of the body of its response have arrived, and the record names
        // the target. What it takes delays the reading of the rest. Null: not called.
        std::function<void(const CallRecord &)> responseBegan;
    };

    explicit PipeliningCallers(Options options);

    // Sends until the time is up, and waits until each call has ended. Calls that were sent behind a response with
    // Connection: close count as not sent: the ingress states that it ignores them.
    std::vector<CallRecord> run();

private:
    Options m_options;
};

}
