#pragma once

#include "common/endpoint.h"
#include "common/identifiers.h"

#include <memory>

namespace Galenahill {

// TCP proxy on loopback that injects network faults into the connections between clients and a
// server. Runs on its own thread.
class FaultProxy
{
public:
    enum class Mode {
        Pass,
        // Each chunk that was read is forwarded after the given delay.
        Delay,
        // All open connections and each new one are reset.
        Reset,
        // Data from the server, from the client, or from both is held back until the mode changes.
        // New connections are still accepted.
        HoldResponses,
        HoldRequests,
        HoldBoth,
        // Nothing is forwarded any more on the connections that are open now, which stay open. New ones work.
        SilenceOpen,
    };

    // Throws if it can't listen on the address. The receive buffers of both sides have that many bytes, so that the peers'
    // sockets keep what exceeds it unacknowledged; zero leaves them to the system.
    FaultProxy(const Endpoint &listen, const Endpoint &server, int receiveBuffer = 0);
    ~FaultProxy();

    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    // Whether the server refused the connection of the client with that local port, of which the client could not learn before
    // it sent. Each refusal is returned once.
    bool takeRefusal(std::uint16_t clientPort);

    void setMode(Mode mode, Milliseconds delay = Milliseconds(0));

    // From now on, the proxy refuses connections while the server does.
    void refuseWithServer();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
