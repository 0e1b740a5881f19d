#pragma once

#include "adapters/http/bodysource.h"
#include "adapters/http/cancellation.h"
#include "adapters/http/httpmessage.h"
#include "adapters/http/streamresult.h"

#include <cstdint>
#include <string>

namespace Galenahill {

// The connection that a request arrived on, as its handler sees it.
class ServerConnection
{
public:
    virtual ~ServerConnection() = default;

    // Whether the peer has closed its side, so that the request needs no response.
    virtual bool peerClosed() = 0;

    // The peer's IP address; empty if the peer had already disconnected when it was accepted.
    virtual std::string peerAddress() const = 0;

    // The peer's port; zero if the address is empty.
    virtual std::uint16_t peerPort() const
    {
        return 0;
    }

    // Gives the request an id, for the report on the connection's end.
    virtual void setRequestId(const std::string &)
    {
    }

    // Whether the peer is reached over the VM's link. False for a peer in this process.
    virtual bool usesLink() const
    {
        return true;
    }

    // Cancelled when the peer closes its side while its request is being handled.
    virtual Cancellation &cancellation() = 0;

    // The part of the request's body that hasn't been read yet; null if the request contains
    // the complete body, as it always does when bodies aren't streamed.
    virtual BodySource *requestBody() = 0;

    // Sends a response whose body continues with `rest` after the part in `response`. The
    // handler's return value is then ignored. If the source fails, the connection is closed,
    // so that the peer can't mistake the truncated body for a complete one.
    virtual asio::awaitable<StreamResult> sendStreamed(HttpResponse response, BodySource &rest) = 0;
};

}
