#pragma once

#include "adapters/http/asio.h"
#include "adapters/http/httpmessage.h"
#include "adapters/http/serverconnection.h"
#include "common/endpoint.h"
#include "common/error.h"
#include "common/identifiers.h"
#include "core/config/configdefinitions.h"

#include <functional>
#include <memory>

namespace Galenahill {

// An HTTP/1.1 server on one I/O context. Answers go out in the order of the
// requests on a connection.
class HttpServer
{
public:
    using Handler = std::function<asio::awaitable<HttpResponse>(HttpRequest request, ServerConnection &connection)>;

    struct Options
    {
        Endpoint endpoint;
        Handler handler;
        // What peers may send, and how long they may take or stay idle.
        CallerLimits limits{.bodyBytes = 1024 * 1024};
        // Whether bodies longer than this are given to the handler while they
        // arrive.
        bool streamBodies = false;
        std::size_t bufferedBodyBytes = 64 * 1024;
        // Bodies held in memory for all connections; beyond it they are given to
        // the handler while they arrive, whatever their length.
        std::size_t heldBodyBytes = 64 * 1024 * 1024;
        // Peers send a body that they offer by its header (100 Continue) only when
        // it is asked for. The handler then decides whether it comes, and a
        // connection whose body was refused carries further requests.
        bool peersWaitForContinue = false;
        // Time for a body that is held whole to arrive, and for each part of a
        // streamed one to be sent or taken.
        Milliseconds readTimeout{10000};
        std::size_t maxConnections = 4096;
        // Whether the request may run before those ahead of it on its connection
        // are answered: one that may run twice, since its peer sends it again
        // if an answer before it closes the connection. Null: none may.
        std::function<bool(const HttpRequest &request)> mayRunAhead;
    };

    HttpServer(asio::io_context &context, Options options);
    ~HttpServer();

    // Binds and starts to accept. Invalid if the address is taken.
    Result<void> listen();

    // Holds peers to these limits from their next request on.
    void limitPeers(const CallerLimits &limits);

    // Closes each connection after its next answer from now on, and tells the
    // peer so; new connections are still accepted.
    void closeAfterAnswers();

    // Accepts no further connections and closes each one after its next
    // answer; connections without a request stay open until closeIdle.
    void drain();

    // Closes the connections that have no request in flight.
    void closeIdle();

    // Requests being handled.
    std::size_t requestsInFlight() const;

    // Connections that are open.
    std::size_t connections() const;

    // Bytes received and sent.
    std::uint64_t bytes() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
