#pragma once

#include "adapters/http/httpserver.h"
#include "adapters/http/messagereader.h"

namespace Galenahill {

class HttpServerConnection;

// One request on a connection of a server, and its response. A connection may have several
// exchanges at a time; each sends its response after those of the earlier ones.
class ServerExchange : public ServerConnection
{
public:
    explicit ServerExchange(HttpServerConnection &connection);
    ~ServerExchange() override;

    ServerExchange(const ServerExchange &) = delete;
    ServerExchange &operator=(const ServerExchange &) = delete;

    // Reads the request's header. An error with status `unknown` means that the peer disconnected,
    // so that no response can be sent.
    asio::awaitable<std::optional<RequestError>> readHeader(HttpRequest &request);

    // Reads the part of the body that is buffered; the handler reads the rest.
    asio::awaitable<std::optional<RequestError>> readBody(HttpRequest &request);

    // Sends the handler's response, unless the handler has already streamed one.
    asio::awaitable<void> respond(HttpResponse response);

    // Sends the error response to a request that couldn't be read.
    asio::awaitable<ErrorCode> reject(RequestError requestError);

    // Makes the response for a handler that threw; the outcome of the request is unknown.
    HttpResponse handlerFailed(const std::string &reason);

    // Whether the request has been read completely.
    bool isComplete() const;

    // Whether the peer sends nothing more of the request for now: it has been read completely, or
    // the peer waits for 100 Continue.
    bool noBytesPending() const;

    // Whether the connection can carry another request after this one.
    bool keepsConnection() const;

    // Whether the connection failed while the request was read or its response sent.
    bool failed() const;

    bool peerClosed() override;
    std::string peerAddress() const override;
    std::uint16_t peerPort() const override;
    void setRequestId(const std::string &id) override;
    Cancellation &cancellation() override;
    BodySource *requestBody() override;
    asio::awaitable<StreamResult> sendStreamed(HttpResponse response, BodySource &rest) override;

    const std::string &requestId() const;

    // Whether the request has been passed to the handler.
    bool started = false;

    // Wakes the exchange once it is the first of the pipeline; set only if it has to wait.
    std::optional<asio::steady_timer> turn;

private:
    class RequestBody;

    asio::awaitable<ErrorCode> sendContinue();
    asio::awaitable<StreamResult> sendParts(std::string part, BodySource &rest, bool chunked);
    std::optional<RequestError> requestErrorOf(const ErrorCode &error) const;
    bool keepsAfterResponse() const;
    bool buffersBody() const;
    bool peerAwaitsContinue() const;

    HttpServerConnection &m_connection;
    TcpChannel &m_channel;
    MessageReader<true> m_reader;
    Cancellation m_cancellation;
    std::unique_ptr<BodySource> m_body;
    std::string m_requestId;
    unsigned m_version = 11;
    bool m_isHead = false;
    bool m_keepAlive = true;
    bool m_continueExpected = false;
    // Length of the buffered body; zero if it isn't buffered or its length is unknown.
    std::uint64_t m_bufferedBytes = 0;
    // Whether the handler has streamed the response itself.
    bool m_responded = false;
    bool m_failed = false;
};

}
