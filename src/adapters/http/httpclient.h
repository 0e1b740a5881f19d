#pragma once

#include "adapters/http/asio.h"
#include "adapters/http/bodysource.h"
#include "adapters/http/cancellation.h"
#include "adapters/http/httpmessage.h"
#include "common/endpoint.h"
#include "common/error.h"
#include "common/identifiers.h"

#include <functional>
#include <memory>
#include <optional>

namespace Galenahill {

// An HTTP/1.1 client on one I/O context with a connection pool per endpoint. Each connection
// carries one request at a time. A connection whose request timed out or was cancelled is closed,
// so that no response can reach another request. A request is sent at most once, whatever its
// outcome; retries are up to the caller.
class HttpClient
{
public:
    struct Options
    {
        std::size_t maxIdlePerEndpoint = 32;
        // Maximum number of connections to one endpoint, idle and in use.
        std::size_t maxPerEndpoint = 512;
        // Connections that have been idle for longer are closed rather than used, since the
        // server may be about to close them.
        Milliseconds maxIdleAge{20000};
        // Time limit for establishing a connection, in addition to the exchange's deadline.
        Milliseconds connectTimeout{60000};
        // Time after which the peer of a connection in use counts as lost if it owes an acknowledgement;
        // zero uses the system's default. Where the system doesn't provide TCP_INFO, TCP_USER_TIMEOUT
        // is set, which also ends a connection whose peer doesn't read for that time.
        Milliseconds unackedTimeout{0};
        // Whether connections without traffic are probed, so that one whose peer is no longer
        // reachable breaks within three seconds.
        bool keepAliveProbes = false;
        std::uint64_t maxBodyBytes = 64 * 1024 * 1024;
        // Whether connections to the endpoint can be made; for fault injection. Null: always.
        std::function<bool(const Endpoint &)> reachable;
        // Responses up to this length are read completely even if the caller accepts a stream.
        std::size_t bufferedBodyBytes = 64 * 1024;
        // Time limit for receiving each part of a streamed body after the exchange's deadline; before it,
        // the server may pause for any time.
        Milliseconds partTimeout{10000};
    };

    // Options of a single exchange.
    struct ExchangeOptions
    {
        // Aborts the exchange and closes its connection when cancelled.
        Cancellation *cancellation = nullptr;
        // The rest of the request's body. If `expectContinue` is set, it is read only once the
        // server has sent 100 Continue.
        BodySource *requestBody = nullptr;
        bool expectContinue = false;
        // A connection that has been idle for longer isn't used; a new one is made instead.
        Milliseconds maxIdle = std::chrono::hours(24);
        // Whether a response with these header fields belongs to the request. One that doesn't is
        // read and discarded. Null: every response does.
        std::function<bool(const http::fields &)> matchesRequest;
        // Whether a late copy of a response with these header fields could be taken for the response to a later request.
        // Null: never.
        std::function<bool(const http::fields &)> isAmbiguous;
        // Uses no connection on which an ambiguous response arrived.
        bool avoidAmbiguity = false;
        // Closes the connection after the response, so that no late copy of it reaches another request.
        bool closeAfterwards = false;
        // Limit for the body of the response in place of the client's.
        std::optional<std::uint64_t> maxBodyBytes;
        // Receives the rest of a response's body that is too long to be buffered. It isn't subject
        // to the exchange's deadline; each part has its own time limit.
        std::unique_ptr<BodySource> *responseBody = nullptr;
    };

    HttpClient(asio::io_context &context, Options options);
    ~HttpClient();

    // Sends the request and reads the response.
    //
    // Errors: Unavailable if no byte of the request was sent, so that it certainly didn't run;
    // OutcomeUnknown if it was sent and no complete response arrived by the deadline.
    asio::awaitable<Result<HttpResponse>> exchange(Endpoint endpoint, HttpRequest request, TimePoint deadline);

    // The same with options, for a request that the caller keeps. The request must outlive the
    // exchange, which sets only its length fields.
    asio::awaitable<Result<HttpResponse>> exchange(const Endpoint &endpoint, HttpRequest &request, TimePoint deadline, ExchangeOptions exchangeOptions);

    // Opens connections to the endpoint until `count` are open.
    asio::awaitable<void> warm(Endpoint endpoint, std::size_t count, TimePoint deadline);

    // Whether the endpoint refuses connections, since no process listens there; false if that is not known by the
    // deadline. An idle connection that is open tells the contrary; otherwise one is made, and kept for the next exchange.
    asio::awaitable<bool> refusesConnections(Endpoint endpoint, TimePoint deadline);

    // Limits the open connections to the endpoint. An exchange that would need another one fails
    // as Unavailable.
    void limitConnections(const Endpoint &endpoint, std::size_t limit);

    void closeIdle(const Endpoint &endpoint);

    // Closes expired idle connections, and frees the buffers of those that have been idle for a
    // while. Cheap; to be called about once a second.
    void trimIdle();

    // Open connections to the endpoint, idle and in use.
    std::size_t openConnections(const Endpoint &endpoint) const;

    // Bytes received and sent.
    std::uint64_t bytes() const;

    // Of these, the bytes sent to other addresses than the own one.
    std::uint64_t bytesSentOnLink() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
