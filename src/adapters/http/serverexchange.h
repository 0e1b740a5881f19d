#pragma once

#include "adapters/http/httpserver.h"
#include "adapters/http/messagereader.h"

namespace Galenahill {

class HttpServerConnection;

// One request on a connection of a server, and its answer. Several may be under
// way on a connection; each sends its answer once those before it are sent.
class ServerExchange : public ServerConnection
{
public:
    explicit ServerExchange(HttpServerConnection &connection);
    ~ServerExchange() override;

    ServerExchange(const ServerExchange &) = delete;
    ServerExchange &operator=(const ServerExchange &) = delete;

    // Reads the request's header. A fault of unknown status says that the peer
    // went away, so that nobody is left to answer.
    asio::awaitable<std::optional<RequestFault>> readHeader(HttpRequest &request);

    // Reads the body as far as it is held; the rest is left to the handler.
    asio::awaitable<std::optional<RequestFault>> readBody(HttpRequest &request);

    // Sends the handler's answer, unless the handler has sent it itself.
    asio::awaitable<void> answer(HttpResponse response);

    // Sends the answer to a request that couldn't be read.
    asio::awaitable<ErrorCode> refuse(RequestFault fault);

    // The handler failed; what it had done by then isn't known.
    HttpResponse handlerFailed(const std::string &reason);

    // Whether the whole request has been read.
    bool whole() const;

    // Whether nothing more of the request is on its way: it is whole, or the
    // peer waits to be asked for its body.
    bool quiet() const;

    // Whether the connection can carry another request behind this one.
    bool keepsConnection() const;

    // Whether an error has cut the connection in this request or its answer.
    bool failed() const;

    bool peerClosed() override;
    std::string peerAddress() const override;
    Cancellation &cancellation() override;
    BodySource *requestBody() override;
    asio::awaitable<void> sendStreamed(HttpResponse response, BodySource &rest) override;

    // Whether the handler has the request, so that it may run.
    bool started = false;

    // Wakes the exchange once it is the first in the line; set only if it has
    // to wait.
    std::optional<asio::steady_timer> turn;

private:
    class RequestBody;

    asio::awaitable<ErrorCode> sendContinue();
    asio::awaitable<ErrorCode> sendParts(std::string part, BodySource &rest, bool chunked);
    std::optional<RequestFault> faultOf(const ErrorCode &error) const;
    bool keepsAfterAnswer() const;
    bool holdsBody() const;
    bool bodyUnasked() const;

    HttpServerConnection &m_connection;
    TcpChannel &m_channel;
    MessageReader<true> m_reader;
    Cancellation m_cancellation;
    std::unique_ptr<BodySource> m_body;
    unsigned m_version = 11;
    bool m_head = false;
    bool m_keepAlive = true;
    bool m_continueExpected = false;
    // Length of the body while it is held.
    std::uint64_t m_heldBytes = 0;
    // The handler has sent the answer itself.
    bool m_answered = false;
    bool m_failed = false;
};

}
