#pragma once

#include "adapters/http/httpserver.h"
#include "adapters/http/serverexchange.h"

#include <vector>

namespace Galenahill {

// What the connections of one server share.
struct HttpServerState
{
    HttpServer::Options options;
    std::atomic<std::uint64_t> bytes = 0;
    std::size_t inFlight = 0;
    // Lengths of the bodies that are held.
    std::uint64_t heldBytes = 0;
    // Requests that run while one before them on their connection does.
    std::size_t ahead = 0;
    bool draining = false;
};

// One connection of a server: reads requests, has them handled, sends the
// answers in the order of the requests, until either side closes.
//
// Mostly one coroutine does it all, request after request. When bytes arrive
// while it waits for a handler, another one takes over the reading; the first
// ends with its answer. So there is one reader at any time, and a connection
// whose peer waits for each answer costs nothing more.
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection>
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

    // For its exchanges.
    TcpChannel &channel();
    const HttpServer::Options &options() const;
    std::uint64_t &heldBytes();
    bool draining() const;
    bool peerClosed();
    std::string peerAddress() const;
    void limitTime(Milliseconds time);
    void watchPeer();

    // Whether all answers before that of the exchange are sent.
    bool isFirst(const ServerExchange &exchange) const;

    // Waits until they are; false if the connection is closed first.
    asio::awaitable<bool> waitTurn(ServerExchange &exchange);

    // Nothing behind the answer that is about to be sent is taken any more.
    void endWithAnswer();

    // Whether a request behind the exchange is being handled.
    bool startedBehind(const ServerExchange &exchange) const;

private:
    // What the reader is doing.
    enum class Reading {
        // A handler has the last request; nothing is being read.
        Nothing,
        // Waits for the first byte of a request.
        Idle,
        Request,
    };

    // Holds the exchange's place in the line, and counts the request as in
    // flight once it is started, whatever ends the handler.
    class Place;

    asio::awaitable<void> readFrom(std::uint64_t reader);
    asio::awaitable<bool> waitForRequest();
    asio::awaitable<bool> serveRequest();
    bool mayRunAhead(const ServerExchange &exchange, const HttpRequest &request) const;
    asio::awaitable<HttpResponse> handle(ServerExchange &exchange, HttpRequest request);
    asio::awaitable<void> refuse(ServerExchange &exchange, RequestFault fault);
    asio::awaitable<void> linger();
    void readAhead();
    void leaveLine(ServerExchange &exchange);
    void timeUp();
    void checkPeer();
    void peerGone();

    TcpChannel m_channel;
    std::shared_ptr<HttpServerState> m_state;
    // In the order of their requests.
    std::vector<ServerExchange *> m_line;
    std::string m_peerAddress;
    TimePoint m_since;
    // The coroutine that reads; each new one takes over.
    std::uint64_t m_reader = 0;
    Reading m_reading = Reading::Nothing;
    std::size_t m_started = 0;
    bool m_watching = false;
    bool m_peerGone = false;
    bool m_ending = false;
    bool m_closed = false;
    // Wakes serve() when another coroutine has come to the end.
    std::optional<asio::steady_timer> m_end;
};

}
