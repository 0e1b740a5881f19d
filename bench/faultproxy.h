#pragma once

#include "common/endpoint.h"
#include "common/identifiers.h"

#include <memory>

namespace Galenahill {

// A relay on loopback between a client and a server, which does to their
// connections what networks do. Has a thread of its own.
class FaultProxy
{
public:
    enum class Mode {
        Pass,
        // Each part comes this much later.
        Delay,
        // All connections are reset, and each new one.
        Reset,
        // Nothing comes from the server, or from the client, until the mode
        // changes; connections are still accepted.
        CutAnswers,
        CutRequests,
        Silence,
    };

    // Throws if the address can't be listened on.
    FaultProxy(const Endpoint &listen, const Endpoint &server);
    ~FaultProxy();

    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    void setMode(Mode mode, Milliseconds delay = Milliseconds(0));

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
