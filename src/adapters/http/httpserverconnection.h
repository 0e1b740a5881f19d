#pragma once

#include "adapters/http/httpserver.h"
#include "adapters/http/sendtimelimit.h"
#include "adapters/http/serverexchange.h"

#include <vector>

namespace Galenahill {

// State shared by the connections of one server.
struct HttpServerState
{
    HttpServer::Options options;
    ByteCounts bytes;
    std::size_t inFlight = 0;
    // Requests whose header was read, until they are answered.
    std::size_t unanswered = 0;
    // Total length of the request bodies buffered in memory.
    std::uint64_t bufferedBytes = 0;
    // Requests being handled while an earlier one of their connection is not yet answered.
    std::size_t runningAhead = 0;
    // Whether connections are closed once all requests that were read are answered.
    bool draining = false;
    // Whether pipelined requests that have to wait for their turn are rejected.
    bool stopped = false;
};

// One connection of a server: reads requests, passes them to the handler and sends the
// responses in the order of the requests, until either side closes.
//
// Usually a single coroutine does this, request after request. When bytes arrive while it waits
// for the handler, another coroutine takes over reading, and the first one ends after its
// response. So only one coroutine reads at any time, and a connection whose peer doesn't
// pipeline needs no further coroutine.
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection>
{
public:
    HttpServerConnection(Tcp::socket socket, std::shared_ptr<HttpServerState> state);

    // Serves until the connection is closed.
    asio::awaitable<void> serve();

    // Closes the connection immediately. What the peer has not received yet may be lost.
    void close();

    // Ends the connection if it waits for a request of which nothing has arrived.
    void endIfIdle();

    // Bounds the requests that are still answered to those of which anything has arrived. For a server
    // that stops: a peer that sends on without a pause would never see the end of its connection.
    void limitToArrivedRequests();

    // Ends the wait for the rest of a request of which a part has arrived.
    void expireArriving();

    // How the connection ended, or how it would if the process ended now.
    ConnectionEnd end();

    Deadline &deadline();

    // Whether a request is being read or handled.
    bool busy() const;

    // Whether a request is being handled or its response is being sent.
    bool handling() const;

    // When the connection began to wait for its current request.
    TimePoint waitingSince() const;

    // Used by the connection's exchanges.
    TcpChannel &channel();
    const HttpServer::Options &options() const;
    std::uint64_t &bufferedBytes();
    bool draining() const;
    bool peerClosed();
    const Endpoint &peer() const;
    void setTimeLimit(Milliseconds time);
    void watchPeer();

    // Limits the time in which the peer must have received something of what is sent next.
    void limitSending();

    // Whether all responses before that of the exchange have been sent.
    bool isFirst(const ServerExchange &exchange) const;

    // Waits until all responses before that of the exchange have been sent; false if the
    // connection is closed first.
    asio::awaitable<bool> waitTurn(ServerExchange &exchange);

    // Makes the response that is about to be sent the last one; later requests are ignored.
    void closeAfterResponse();

    // Makes the connection end with a reset, for a response that would otherwise look complete.
    void resetAfterResponse();

    // Whether anything of a later request than that of the exchange has arrived and must be answered.
    bool hasArrivedAfter(const ServerExchange &exchange);

private:
    // What the reading coroutine is doing.
    enum class Reading {
        // The handler has the last request; nothing is being read.
        Nothing,
        // Waiting for the first byte of a request.
        Idle,
        Request,
    };

    // Keeps the exchange in the pipeline while in scope, and counts the request as in flight
    // once it is started, even if the handler throws.
    class PipelineEntry;

    asio::awaitable<void> readFrom(std::uint64_t reader);
    asio::awaitable<bool> waitForRequest();
    asio::awaitable<bool> serveRequest();
    bool mayPipeline(const ServerExchange &exchange, const HttpRequest &request) const;
    asio::awaitable<HttpResponse> handle(ServerExchange &exchange, HttpRequest request);
    asio::awaitable<void> reject(ServerExchange &exchange, RequestError requestError);
    asio::awaitable<void> endGracefully();
    void halfClose();
    asio::awaitable<void> discardUntilClosed();
    bool endsIdle(const ErrorCode &error) const;
    bool hasUnansweredBytes();
    void readAhead();
    void removeFromPipeline(ServerExchange &exchange);
    void deadlineExpired();
    void checkPeer();
    void peerDisconnected();
    void cancelPipeline();

    TcpChannel m_channel;
    std::shared_ptr<HttpServerState> m_state;
    // Exchanges in the order of their requests.
    std::vector<ServerExchange *> m_pipeline;
    Endpoint m_peer;
    std::string m_lastAnsweredId;
    TimePoint m_waitingSince;
    // Number of the coroutine that reads; each new one takes over.
    std::uint64_t m_reader = 0;
    Reading m_reading = Reading::Nothing;
    std::size_t m_started = 0;
    std::size_t m_requestsRead = 0;
    std::size_t m_requestsAnswered = 0;
    bool m_watching = false;
    // Whether the deadline is the next check of the limit for sending.
    bool m_limitsSending = false;
    SendTimeLimit m_sendLimit;
    bool m_peerDisconnected = false;
    bool m_closesAfterResponse = false;
    // Whether a response said Connection: close.
    bool m_closeAnnounced = false;
    // Whether requests that are read from now on are answered without being handled.
    bool m_rejectsRequests = false;
    // Whether the peer must not take what it has received for complete.
    bool m_endsWithReset = false;
    bool m_closed = false;
    // Whether nothing more is sent, and the connection is open only until the peer has received everything.
    bool m_halfClosed = false;
    // Whether a coroutine discards what the peer sends after the half-close.
    bool m_discarding = false;
    // Whether the wait for a request has been aborted by endIfIdle().
    bool m_endsIfIdle = false;
    // Whether expireArriving() has ended the wait for the rest of a request.
    bool m_arrivalExpired = false;
    std::size_t m_discarded = 0;
    // Number of the received byte from which on requests are not answered; no limit if not set.
    std::optional<std::uint64_t> m_answerUpTo;
    // Wakes serve() when another coroutine closes the connection.
    std::optional<asio::steady_timer> m_closedSignal;
};

}
