#pragma once

#include "adapters/http/httpserver.h"
#include "adapters/http/messagereader.h"

namespace Galenahill {

// What the connections of one server share.
struct HttpServerState
{
    HttpServer::Options options;
    std::atomic<std::uint64_t> bytes = 0;
    std::size_t inFlight = 0;
    bool draining = false;
};

// One connection of a server: reads a request, has it handled, sends the
// answer, and so on until either side closes.
class HttpServerConnection : public ServerConnection, public std::enable_shared_from_this<HttpServerConnection>
{
public:
    HttpServerConnection(Tcp::socket socket, std::shared_ptr<HttpServerState> state);

    // Serves until the connection is closed.
    asio::awaitable<void> serve();

    // Closes at once.
    void close();

    Deadline &deadline();

    // Whether a request is being read or handled.
    bool busy() const;

    // Whether a request is being handled or answered.
    bool handling() const;

    // When the connection began to wait for what it waits for.
    TimePoint since() const;

    bool peerClosed() override;
    std::string peerAddress() const override;
    Cancellation &cancellation() override;
    BodySource *requestBody() override;
    asio::awaitable<void> sendStreamed(HttpResponse response, BodySource &rest) override;

private:
    class RequestBody;

    // What is kept while one request is read and answered.
    struct Exchange
    {
        Exchange(TcpChannel &channel, const HttpServer::Options &options);

        MessageReader<true> reader;
        Cancellation cancellation;
        std::unique_ptr<BodySource> body;
        unsigned version = 11;
        bool head = false;
        bool keepAlive = true;
        bool continueExpected = false;
        // The handler has sent the answer itself.
        bool answered = false;
        bool failed = false;
    };

    asio::awaitable<bool> waitForRequest();
    asio::awaitable<bool> serveRequest();
    asio::awaitable<std::optional<RequestFault>> readRequest(HttpRequest &request);
    asio::awaitable<ErrorCode> readBody(HttpRequest &request);
    asio::awaitable<ErrorCode> sendContinue();
    asio::awaitable<HttpResponse> handle(HttpRequest request);
    asio::awaitable<void> answer(HttpResponse response);
    asio::awaitable<void> refuse(RequestFault fault);
    asio::awaitable<void> linger();
    std::optional<RequestFault> faultOf(const ErrorCode &error) const;
    void watchPeer();
    void timeUp();
    void checkPeer();
    void limitTime(Milliseconds time);

    TcpChannel m_channel;
    std::shared_ptr<HttpServerState> m_state;
    std::optional<Exchange> m_exchange;
    std::string m_peerAddress;
    TimePoint m_since;
    bool m_busy = false;
    bool m_handling = false;
    bool m_watching = false;
    bool m_peerGone = false;
};

}
