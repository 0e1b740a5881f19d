#pragma once

#include "adapters/http/asio.h"
#include "adapters/http/connectionend.h"
#include "adapters/http/httpmessage.h"
#include "adapters/http/serverconnection.h"
#include "common/endpoint.h"
#include "common/error.h"
#include "common/identifiers.h"
#include "core/config/configdefinitions.h"

#include <functional>
#include <memory>
#include <vector>

namespace Galenahill {

// An HTTP/1.1 server on one I/O context. The responses on a connection have the order of its
// requests.
class HttpServer
{
public:
    using Handler = std::function<asio::awaitable<HttpResponse>(HttpRequest request, ServerConnection &connection)>;

    struct Options
    {
        Endpoint endpoint;
        Handler handler;
        // Limits for the size of requests, the time to send them, and idle connections.
        CallerLimits limits{.bodyBytes = 1024 * 1024};
        // Whether bodies longer than bufferedBodyBytes are passed to the handler while they arrive.
        bool streamBodies = false;
        std::size_t bufferedBodyBytes = 64 * 1024;
        // Limit for the buffered bodies of all connections. Beyond it, bodies of any length are
        // passed to the handler while they arrive.
        std::size_t totalBufferedBytes = 64 * 1024 * 1024;
        // Whether peers that send Expect: 100-continue always wait for 100 Continue before they
        // send the body. The handler then decides whether the body is sent, and the connection
        // can be reused after a rejection.
        bool peersWaitForContinue = false;
        // Time limit for receiving a buffered body completely, for each part of a streamed body, and for a peer
        // that receives nothing of a response.
        Milliseconds readTimeout{10000};
        std::size_t maxConnections = 4096;
        // Whether a pipelined request may run before the earlier ones of its connection are
        // answered. It must be safe to run twice, since the peer sends it again if an earlier
        // response closes the connection. Null: none may.
        std::function<bool(const HttpRequest &request)> mayPipeline;
        // Called for each connection right before its socket is closed. Null: not called.
        std::function<void(const ConnectionEnd &end)> connectionEnded;
    };

    HttpServer(asio::io_context &context, Options options);
    ~HttpServer();

    // Binds and starts to accept connections. Invalid if the address is not available.
    Result<void> listen();

    // Replaces the limits; they apply from each connection's next request on.
    void setLimits(const CallerLimits &limits);

    // Ends each connection once all requests that have arrived on it are answered; the last response says
    // Connection: close. New connections are still accepted. A connection that ends is half-closed, and stays open
    // until the peer closes it, or until the peer's kernel has acknowledged everything and a time limit has passed.
    void closeAfterResponses();

    // Like closeAfterResponses(), and stops accepting connections. Pipelined requests that still wait
    // for an earlier response are rejected with 503, and what arrives on a connection from now on behind
    // other requests is discarded. Connections without a request stay open until closeIdle() is called.
    void drain();

    // Ends the connections on which no part of a request has arrived, but for those that were accepted less than 300 ms
    // ago and have carried no request. Returns the number of connections that are still open.
    std::size_t closeIdle();

    // Rejects the requests of which a part has not arrived yet, as if their time limits had passed. A handler that reads
    // such a body gets an error.
    void expireArriving();

    // Requests being handled.
    std::size_t requestsInFlight() const;

    // Requests being handled, and those whose body is still being received or that wait for an earlier
    // response.
    std::size_t unansweredRequests() const;

    std::size_t connections() const;

    // How the open connections would end if the process ended now, by asking the kernel about each.
    std::vector<ConnectionEnd> openConnections() const;

    // Bytes received and sent.
    std::uint64_t bytes() const;

    // Of these, the bytes sent to other addresses than the own one.
    std::uint64_t bytesSentOnLink() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
