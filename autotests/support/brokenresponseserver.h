#pragma once

#include "common/endpoint.h"
#include "common/identifiers.h"

#include <functional>
#include <memory>
#include <string>

namespace Galenahill::Test {

// What a BrokenResponseServer sends after the header of a request, whether or not it is a valid response.
struct BrokenResponse
{
    enum class End {
        // The connection stays open until the client closes it.
        None,
        // The server ends its sending half and reads what the client sends.
        Close,
        // The server resets the connection without ending its sending half.
        Reset,
        // The server ends its sending half, and resets the connection later.
        CloseThenReset,
    };

    // `bytes` is sent once; `repeated`, unless empty, follows until the connection breaks.
    std::string bytes;
    std::string repeated = {};
    End end = End::None;
    // Pauses before the bytes, and before a reset.
    Milliseconds delay{0};
    Milliseconds resetDelay{0};
};

// An HTTP server that sends arbitrary bytes as responses, on a thread for each connection. Its receive buffer is small, and it
// doesn't read the bodies of requests, so uploads of some hundred kilobytes fill the connection.
class BrokenResponseServer
{
public:
    // The response to the request with that header. Called on several threads.
    using Script = std::function<BrokenResponse(const std::string &header)>;

    // An endpoint without a port gets a free one.
    BrokenResponseServer(const Endpoint &endpoint, Script script);
    // Sends the same response to each request.
    BrokenResponseServer(const Endpoint &endpoint, BrokenResponse response);
    ~BrokenResponseServer();

    Endpoint endpoint() const;

    // Number of requests whose header has arrived, and of connections that the client closed or reset.
    std::size_t requests() const;
    std::size_t closedByClient() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
