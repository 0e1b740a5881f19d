#pragma once

#include "adapters/http/bodysource.h"
#include "adapters/http/cancellation.h"
#include "adapters/http/httpmessage.h"

namespace Galenahill {

// What a handler may ask of the connection that a request came on.
class ServerConnection
{
public:
    virtual ~ServerConnection() = default;

    // Whether the peer has closed its side. A request of a peer that is gone
    // needs no answer.
    virtual bool peerClosed() = 0;

    // The IP number that the peer connected from; empty if it is gone.
    virtual std::string peerAddress() const = 0;

    // Cancelled when the peer closes its side while its request is handled.
    virtual Cancellation &cancellation() = 0;

    // The part of the request's body that hasn't arrived yet; null if the
    // request holds the whole body, as it always does without streaming.
    virtual BodySource *requestBody() = 0;

    // Sends an answer whose body goes on after what the response holds. The
    // handler's own return value isn't sent then. If the source is cut off,
    // the connection is closed, so that the peer can't take the part for the
    // whole.
    virtual asio::awaitable<void> sendStreamed(HttpResponse response, BodySource &rest) = 0;
};

}
