#pragma once

#include "adapters/http/asio.h"
#include "adapters/http/httpmessage.h"
#include "common/endpoint.h"
#include "common/error.h"
#include "common/identifiers.h"

#include <functional>
#include <memory>

namespace Galenahill {

// HTTP/1.1 client connections on one I/O context, pooled by endpoint. One
// request is in flight per connection; a connection whose answer was late or
// given up is closed and never used again, so answers can't cross.
class HttpClient
{
public:
    struct Options
    {
        std::size_t maxIdlePerEndpoint = 32;
        // Idle connections older than this are closed rather than used: the
        // server may be about to close them.
        Milliseconds maxIdleAge{20000};
        std::uint64_t maxBodyBytes = 64 * 1024 * 1024;
        // Whether connections to the endpoint can be made; for playing cut
        // links. Null: always.
        std::function<bool(const Endpoint &)> reachable;
    };

    HttpClient(asio::io_context &context, Options options);
    ~HttpClient();

    // Sends the request and reads the answer.
    //
    // Errors: Unavailable if no byte of the request was sent, so it certainly
    // didn't run; OutcomeUnknown if it was sent and no whole answer came by
    // the deadline.
    asio::awaitable<Result<HttpResponse>> exchange(Endpoint endpoint, HttpRequest request, TimePoint deadline);

    // Closes the idle connections to the endpoint.
    void closeIdle(const Endpoint &endpoint);

    // Bytes received and sent.
    std::uint64_t bytes() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
