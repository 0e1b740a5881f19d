#include "adapters/http/httpserverconnection.h"

#include "core/calls/callheaders.h"

#include <algorithm>

namespace Galenahill {

namespace {

// How often a connection whose request is being handled is checked for the peer's close and
// for further requests. A call passes through two nodes, so a cancelled one stops at its target
// within a quarter of a second. Checking five times as often took a fifth of an idle node's CPU
// time.
constexpr Milliseconds PeerCheckInterval{100};

// Limits for the pipelined requests of one connection, and for the requests on all connections
// of the server that are handled before an earlier one is answered. Each may keep a response of
// 64 KB in memory until its turn.
constexpr std::size_t MaxPipelined = 16;
constexpr std::size_t MaxRunningAhead = 256;

}

class HttpServerConnection::PipelineEntry
{
public:
    PipelineEntry(HttpServerConnection &connection, ServerExchange &exchange)
        : m_connection(connection)
        , m_exchange(exchange)
    {
        connection.m_pipeline.push_back(&exchange);
        ++connection.m_state->unanswered;
        ++connection.m_requestsRead;
    }

    ~PipelineEntry()
    {
        if (m_exchange.started) {
            --m_connection.m_started;
            --m_connection.m_state->inFlight;
            m_connection.m_state->runningAhead -= m_isAhead ? 1 : 0;
        }
        --m_connection.m_state->unanswered;
        m_connection.removeFromPipeline(m_exchange);
    }

    PipelineEntry(const PipelineEntry &) = delete;
    PipelineEntry &operator=(const PipelineEntry &) = delete;

    void start()
    {
        m_isAhead = m_connection.m_pipeline.front() != &m_exchange;
        m_exchange.started = true;
        ++m_connection.m_started;
        ++m_connection.m_state->inFlight;
        m_connection.m_state->runningAhead += m_isAhead ? 1 : 0;
    }

private:
    HttpServerConnection &m_connection;
    ServerExchange &m_exchange;
    bool m_isAhead = false;
};

HttpServerConnection::HttpServerConnection(Tcp::socket socket, std::shared_ptr<HttpServerState> state)
    : m_channel(std::move(socket), state->bytes)
    , m_state(std::move(state))
    , m_waitingSince(Clock::now())
    , m_sendLimit({.limit = m_state->options.readTimeout})
{
    m_channel.prepare();
    ErrorCode failed;
    const auto peer = m_channel.socket.remote_endpoint(failed);
    if (!failed) {
        m_peer = {peer.address().to_string(), peer.port()};
    }
    m_channel.deadline.expire = [this] { deadlineExpired(); };
}

asio::awaitable<void> HttpServerConnection::serve()
{
    const auto self = shared_from_this();
    co_await readFrom(m_reader);
    if (!m_closed) {
        m_closedSignal.emplace(co_await asio::this_coro::executor, TimePoint::max());
        ErrorCode ignored;
        co_await m_closedSignal->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

// Reads and serves requests until another coroutine takes over reading, or the connection
// ends.
asio::awaitable<void> HttpServerConnection::readFrom(std::uint64_t reader)
{
    const auto self = shared_from_this();
    // GCC 12 evaluates a co_await on the right of && even if the left side is false, so each
    // condition that awaits is a statement of its own.
    bool open = co_await waitForRequest();
    while (open && !m_closed) {
        open = co_await serveRequest();
        if (open && (m_reader != reader || m_closesAfterResponse)) {
            co_return;
        }
        if (open) {
            open = co_await waitForRequest();
        }
    }
    co_await endGracefully();
}

Deadline &HttpServerConnection::deadline()
{
    return m_channel.deadline;
}

bool HttpServerConnection::busy() const
{
    return !m_pipeline.empty() || m_reading == Reading::Request;
}

bool HttpServerConnection::handling() const
{
    return m_started > 0;
}

TimePoint HttpServerConnection::waitingSince() const
{
    return m_waitingSince;
}

TcpChannel &HttpServerConnection::channel()
{
    return m_channel;
}

const HttpServer::Options &HttpServerConnection::options() const
{
    return m_state->options;
}

std::uint64_t &HttpServerConnection::bufferedBytes()
{
    return m_state->bufferedBytes;
}

bool HttpServerConnection::draining() const
{
    return m_state->draining;
}

bool HttpServerConnection::peerClosed()
{
    return m_peerDisconnected || m_channel.peerClosed();
}

const Endpoint &HttpServerConnection::peer() const
{
    return m_peer;
}

void HttpServerConnection::setTimeLimit(Milliseconds time)
{
    m_watching = false;
    m_limitsSending = false;
    m_channel.deadline.set(Clock::now() + time);
}

void HttpServerConnection::limitSending()
{
    const auto now = Clock::now();
    m_sendLimit.begin(now);
    m_watching = false;
    m_limitsSending = true;
    m_channel.deadline.set(m_sendLimit.nextCheck(now));
}

// The idle timeout applies only while no earlier request is being handled.
asio::awaitable<bool> HttpServerConnection::waitForRequest()
{
    if (m_peerDisconnected) {
        co_return false;
    }
    m_waitingSince = Clock::now();
    if (m_channel.buffer.size() > 0) {
        co_return true;
    }
    m_reading = Reading::Idle;
    if (m_pipeline.empty()) {
        setTimeLimit(m_state->options.limits.idleTimeout);
    }
    m_channel.releaseBuffer();
    auto error = co_await m_channel.readMore();
    // A request may have arrived in the meantime.
    while (endsIdle(error) && !m_halfClosed && m_channel.readable()) {
        m_endsIfIdle = false;
        setTimeLimit(m_state->options.limits.idleTimeout);
        error = co_await m_channel.readMore();
    }
    m_reading = Reading::Nothing;
    if (error && !m_halfClosed && !endsIdle(error)) {
        peerDisconnected();
    }
    m_endsIfIdle = false;
    co_return !error && !m_halfClosed;
}

// Whether the error ends a wait for a request in which nothing has arrived, as opposed to the connection.
bool HttpServerConnection::endsIdle(const ErrorCode &error) const
{
    return m_pipeline.empty() && (error == asio::error::timed_out || (m_endsIfIdle && error == asio::error::operation_aborted));
}

asio::awaitable<bool> HttpServerConnection::serveRequest()
{
    m_waitingSince = Clock::now();
    ServerExchange exchange(*this);
    HttpRequest request;
    m_reading = Reading::Request;
    if (m_pipeline.empty()) {
        setTimeLimit(m_state->options.limits.headerTimeout);
    }
    auto requestError = co_await exchange.readHeader(request);
    m_reading = Reading::Nothing;
    if (m_closesAfterResponse) {
        co_return !m_halfClosed;
    }
    if (requestError && requestError->status == http::status::unknown) {
        peerDisconnected();
        co_return false;
    }
    PipelineEntry entry(*this, exchange);
    const bool inTurn = isFirst(exchange) || (!requestError && mayPipeline(exchange, request));
    if (!inTurn) {
        const bool isTurn = co_await waitTurn(exchange);
        if (!isTurn || m_closesAfterResponse) {
            co_return false;
        }
    }
    if (!requestError && !exchange.isComplete()) {
        m_reading = Reading::Request;
        requestError = co_await exchange.readBody(request);
        m_reading = Reading::Nothing;
    }
    if (requestError) {
        co_await reject(exchange, std::move(*requestError));
        co_return false;
    }
    m_channel.deadline.clear();
    entry.start();
    if (exchange.noBytesPending()) {
        watchPeer();
        readAhead();
    }
    auto response = co_await handle(exchange, std::move(request));
    if (exchange.cancellation().cancelled()) {
        co_return false;
    }
    co_await exchange.respond(std::move(response));
    if (!exchange.failed()) {
        ++m_requestsAnswered;
        m_lastAnsweredId = exchange.requestId();
    }
    m_rejectsRequests = m_state->stopped;
    co_return exchange.keepsConnection();
}

// A request that must not run twice waits until the earlier ones are answered: if one of their
// responses closes the connection, the peer assumes that later requests weren't read and sends
// them again. A request with a body waits as well, since bodies are read one at a time.
bool HttpServerConnection::mayPipeline(const ServerExchange &exchange, const HttpRequest &request) const
{
    const auto &options = m_state->options;
    return exchange.isComplete() && m_state->runningAhead < MaxRunningAhead && options.mayPipeline && options.mayPipeline(request);
}

// An exception of the handler must not end the connection's coroutine: the request would count
// as in flight for ever, so that a drain never completes, and its caller would get no response.
asio::awaitable<HttpResponse> HttpServerConnection::handle(ServerExchange &exchange, HttpRequest request)
{
    if (m_rejectsRequests) {
        auto rejection = makeErrorResponse(http::status::service_unavailable, "stopping", "this server is stopping; send the request to another one");
        rejection.set(CallHeaders::Outcome, CallHeaders::NotRun);
        co_return rejection;
    }
    std::string reason;
    try {
        co_return co_await m_state->options.handler(std::move(request), exchange);
    } catch (const std::exception &exception) {
        reason = exception.what();
    } catch (...) {
        reason = "unknown exception";
    }
    co_return exchange.handlerFailed(reason);
}

asio::awaitable<void> HttpServerConnection::reject(ServerExchange &exchange, RequestError requestError)
{
    if (requestError.status == http::status::unknown) {
        co_return;
    }
    const auto error = co_await exchange.reject(std::move(requestError));
    if (!error) {
        ++m_requestsAnswered;
    }
}

bool HttpServerConnection::isFirst(const ServerExchange &exchange) const
{
    return !m_closed && !m_halfClosed && m_pipeline.front() == &exchange;
}

asio::awaitable<bool> HttpServerConnection::waitTurn(ServerExchange &exchange)
{
    while (m_pipeline.front() != &exchange && !m_closed && !m_halfClosed) {
        exchange.turn.emplace(co_await asio::this_coro::executor, TimePoint::max());
        ErrorCode ignored;
        co_await exchange.turn->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return !m_closed && !m_halfClosed;
}

void HttpServerConnection::closeAfterResponse()
{
    m_closesAfterResponse = true;
    m_closeAnnounced = true;
}

void HttpServerConnection::resetAfterResponse()
{
    m_endsWithReset = true;
}

bool HttpServerConnection::hasArrivedAfter(const ServerExchange &exchange)
{
    return m_pipeline.back() != &exchange || m_reading == Reading::Request || hasUnansweredBytes();
}

bool HttpServerConnection::hasUnansweredBytes()
{
    if (m_answerUpTo) {
        return m_channel.received - m_channel.buffer.size() < *m_answerUpTo;
    }
    return m_channel.unreadBytes() > 0;
}

void HttpServerConnection::removeFromPipeline(ServerExchange &exchange)
{
    m_pipeline.erase(std::find(m_pipeline.begin(), m_pipeline.end(), &exchange));
    if (m_closed || m_halfClosed) {
        return;
    }
    if (!m_pipeline.empty()) {
        if (m_pipeline.front()->turn) {
            m_pipeline.front()->turn->cancel();
        }
        watchPeer();
        readAhead();
        return;
    }
    const auto &limits = m_state->options.limits;
    if (m_reading != Reading::Nothing) {
        setTimeLimit(m_reading == Reading::Idle ? limits.idleTimeout : limits.headerTimeout);
    }
}

// Starts another reading coroutine if the peer has sent more while the handler has the last
// request. Not while the server drains, so that later requests don't run ahead of a stop.
void HttpServerConnection::readAhead()
{
    const bool wanted = m_state->options.mayPipeline && m_channel.buffer.size() > 0 && !m_state->draining && !m_closesAfterResponse;
    const bool handled = m_reading == Reading::Nothing && !m_pipeline.empty() && m_pipeline.back()->started;
    if (!wanted || !handled || !m_pipeline.back()->isComplete() || !m_pipeline.back()->keepsConnection() || m_pipeline.size() >= MaxPipelined) {
        return;
    }
    m_reading = Reading::Request;
    asio::co_spawn(m_channel.socket.get_executor(), readFrom(++m_reader), asio::detached);
}

// Checks periodically whether the peer has closed. Waiting for the close instead would cost each
// call an asynchronous operation and a system call; most calls end before the first check.
void HttpServerConnection::watchPeer()
{
    m_channel.deadline.set(Clock::now() + PeerCheckInterval);
    m_watching = true;
    m_limitsSending = false;
}

void HttpServerConnection::deadlineExpired()
{
    const auto now = Clock::now();
    if (m_watching && handling()) {
        checkPeer();
    } else if (m_limitsSending && !m_sendLimit.isOver(now, m_channel.acknowledgedBytes())) {
        m_channel.deadline.set(m_sendLimit.nextCheck(now));
    } else {
        m_channel.abort();
    }
}

// Reads pipelined bytes into the bounded buffer, since a close shows only after them. Once the
// buffer is full, the peer isn't watched until its next request. While a coroutine reads, that
// one detects the close.
void HttpServerConnection::checkPeer()
{
    if (m_reading != Reading::Nothing || m_pipeline.empty() || !m_pipeline.back()->noBytesPending() || m_channel.freeBytes() == 0) {
        // A passed deadline would end the next read.
        m_channel.deadline.clear();
        return;
    }
    const auto error = m_channel.readArrived();
    if (error && error != asio::error::would_block) {
        peerDisconnected();
        return;
    }
    watchPeer();
    readAhead();
}

}
