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

namespace Galenahill {

// HTTP/1.1 client connections on one I/O context, pooled by endpoint. One
// request is in flight per connection; a connection whose answer was late or
// given up is closed and never used again, so answers can't cross. A request
// is sent at most once whatever becomes of it; to send it again is the
// caller's decision.
class HttpClient
{
public:
    struct Options
    {
        std::size_t maxIdlePerEndpoint = 32;
        // Connections to one endpoint that may be open at a time.
        std::size_t maxPerEndpoint = 512;
        // Idle connections older than this are closed rather than used: the
        // server may be about to close them.
        Milliseconds maxIdleAge{20000};
        // Longest time to wait for a connection to be established; the
        // exchange's own deadline bounds it too.
        Milliseconds connectTimeout{60000};
        // Time after which a connection whose sent bytes nobody acknowledges
        // is taken for dead; zero leaves it to the system.
        Milliseconds unackedTimeout{0};
        // Whether quiet connections are probed, so that one whose peer is gone
        // without a word breaks within three seconds.
        bool keepAliveProbes = false;
        std::uint64_t maxBodyBytes = 64 * 1024 * 1024;
        // Whether connections to the endpoint can be made; for playing cut
        // links. Null: always.
        std::function<bool(const Endpoint &)> reachable;
        // Answers up to this length are read whole even if the rest could be
        // streamed.
        std::size_t bufferedBodyBytes = 64 * 1024;
        // Time for each part of a streamed body to be sent or to arrive.
        Milliseconds partTimeout{10000};
    };

    // What goes along with an exchange.
    struct Companions
    {
        // Ends the exchange and closes its connection when cancelled.
        Cancellation *cancellation = nullptr;
        // The rest of the request's body. It is read only once the server has
        // asked for it (100 Continue), if `askFirst` is set.
        BodySource *requestBody = nullptr;
        bool askFirst = false;
        // Longest time that the connection may have been idle before; a new one
        // is made rather than use an older one.
        Milliseconds maxIdle = std::chrono::hours(24);
        // Whether an answer with that header belongs to the request; one that
        // doesn't is read and dropped. Null: each does.
        std::function<bool(const http::fields &)> belongs;
        // Takes the rest of an answer's body that is too long to be held. The
        // deadline doesn't bound it; each part has its own time limit.
        std::unique_ptr<BodySource> *answerBody = nullptr;
    };

    HttpClient(asio::io_context &context, Options options);
    ~HttpClient();

    // Sends the request and reads the answer.
    //
    // Errors: Unavailable if no byte of the request was sent, so it certainly
    // didn't run; OutcomeUnknown if it was sent and no whole answer came by
    // the deadline.
    asio::awaitable<Result<HttpResponse>> exchange(Endpoint endpoint, HttpRequest request, TimePoint deadline);

    // The same for a request that the caller keeps, with companions. The
    // request must outlive the exchange; only its length fields are set.
    asio::awaitable<Result<HttpResponse>> exchange(const Endpoint &endpoint, HttpRequest &request, TimePoint deadline, Companions companions);

    // Opens idle connections to the endpoint until so many are open.
    asio::awaitable<void> warm(Endpoint endpoint, std::size_t count, TimePoint deadline);

    // Bounds the connections open to the endpoint. An exchange that would need
    // one more fails as Unavailable.
    void limitConnections(const Endpoint &endpoint, std::size_t limit);

    // Closes the idle connections to the endpoint.
    void closeIdle(const Endpoint &endpoint);

    // Closes idle connections that may not be used any more, and frees the buffers
    // of those that have been idle for a while. Cheap; call it about once a second.
    void trimIdle();

    // Connections open to the endpoint, idle and in use.
    std::size_t openConnections(const Endpoint &endpoint) const;

    // Bytes received and sent.
    std::uint64_t bytes() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
