#include "adapters/http/httpserverconnection.h"

#include <algorithm>

namespace Galenahill {

namespace {

// After a refusal the rest of the request is read and dropped for so long and
// so much: closing with unread bytes resets the connection, and the peer
// would lose the answer that tells it what is wrong.
constexpr Milliseconds LingerTime{1000};
constexpr std::size_t LingerBytes = 256 * 1024;

// How soon a handler learns that its peer has closed, and that it has sent
// another request. Two nodes stand between a caller and its target, so that the
// target stops within a quarter of a second; looking five times as often took a
// fifth of an idle node's time.
constexpr Milliseconds PeerCheckInterval{100};

// Requests in line on one connection, and those run ahead of an answer on all
// connections of the server. Each may hold an answer of 64 KB until its turn.
constexpr std::size_t MaxInLine = 16;
constexpr std::size_t MaxAhead = 256;

}

class HttpServerConnection::Place
{
public:
    Place(HttpServerConnection &connection, ServerExchange &exchange)
        : m_connection(connection)
        , m_exchange(exchange)
    {
        connection.m_line.push_back(&exchange);
    }

    ~Place()
    {
        if (m_exchange.started) {
            --m_connection.m_started;
            --m_connection.m_state->inFlight;
            m_connection.m_state->ahead -= m_ahead ? 1 : 0;
        }
        m_connection.leaveLine(m_exchange);
    }

    Place(const Place &) = delete;
    Place &operator=(const Place &) = delete;

    void start()
    {
        m_ahead = m_connection.m_line.front() != &m_exchange;
        m_exchange.started = true;
        ++m_connection.m_started;
        ++m_connection.m_state->inFlight;
        m_connection.m_state->ahead += m_ahead ? 1 : 0;
    }

private:
    HttpServerConnection &m_connection;
    ServerExchange &m_exchange;
    bool m_ahead = false;
};

HttpServerConnection::HttpServerConnection(Tcp::socket socket, std::shared_ptr<HttpServerState> state)
    : m_channel(std::move(socket), state->bytes)
    , m_state(std::move(state))
    , m_since(Clock::now())
{
    m_channel.prepare();
    ErrorCode gone;
    const auto peer = m_channel.socket.remote_endpoint(gone);
    m_peerAddress = gone ? std::string() : peer.address().to_string();
    m_channel.deadline.expire = [this] { timeUp(); };
}

asio::awaitable<void> HttpServerConnection::serve()
{
    const auto keep = shared_from_this();
    co_await readFrom(m_reader);
    if (!m_closed) {
        m_end.emplace(co_await asio::this_coro::executor, TimePoint::max());
        ErrorCode ignored;
        co_await m_end->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

// Reads and serves until another coroutine takes over the reading, or the
// connection ends.
asio::awaitable<void> HttpServerConnection::readFrom(std::uint64_t reader)
{
    const auto keep = shared_from_this();
    // GCC 12 runs a co_await behind && whatever stands before it, so each
    // condition that awaits is a statement of its own.
    bool open = co_await waitForRequest();
    while (open && !m_closed) {
        open = co_await serveRequest();
        if (open && (m_reader != reader || m_ending)) {
            co_return;
        }
        if (open) {
            open = co_await waitForRequest();
        }
    }
    close();
}

void HttpServerConnection::close()
{
    m_closed = true;
    m_channel.close();
    for (auto *exchange : m_line) {
        if (exchange->turn) {
            exchange->turn->cancel();
        }
    }
    // Those that still run have nobody to answer.
    peerGone();
    if (m_end) {
        m_end->cancel();
    }
}

Deadline &HttpServerConnection::deadline()
{
    return m_channel.deadline;
}

bool HttpServerConnection::busy() const
{
    return !m_line.empty() || m_reading == Reading::Request;
}

bool HttpServerConnection::handling() const
{
    return m_started > 0;
}

TimePoint HttpServerConnection::since() const
{
    return m_since;
}

TcpChannel &HttpServerConnection::channel()
{
    return m_channel;
}

const HttpServer::Options &HttpServerConnection::options() const
{
    return m_state->options;
}

std::uint64_t &HttpServerConnection::heldBytes()
{
    return m_state->heldBytes;
}

bool HttpServerConnection::draining() const
{
    return m_state->draining;
}

bool HttpServerConnection::peerClosed()
{
    return m_peerGone || m_channel.peerClosed();
}

std::string HttpServerConnection::peerAddress() const
{
    return m_peerAddress;
}

void HttpServerConnection::limitTime(Milliseconds time)
{
    m_watching = false;
    m_channel.deadline.set(Clock::now() + time);
}

// While others before it are handled, nothing is asked of the peer.
asio::awaitable<bool> HttpServerConnection::waitForRequest()
{
    if (m_peerGone) {
        co_return false;
    }
    m_since = Clock::now();
    if (m_channel.buffer.size() > 0) {
        co_return true;
    }
    m_reading = Reading::Idle;
    if (m_line.empty()) {
        limitTime(m_state->options.limits.idleTimeout);
    }
    m_channel.releaseBuffer();
    const auto error = co_await m_channel.readMore();
    m_reading = Reading::Nothing;
    if (error) {
        peerGone();
    }
    co_return !error;
}

asio::awaitable<bool> HttpServerConnection::serveRequest()
{
    m_since = Clock::now();
    ServerExchange exchange(*this);
    HttpRequest request;
    m_reading = Reading::Request;
    if (m_line.empty()) {
        limitTime(m_state->options.limits.headerTimeout);
    }
    auto fault = co_await exchange.readHeader(request);
    m_reading = Reading::Nothing;
    if (m_ending) {
        co_return true;
    }
    if (fault && fault->status == http::status::unknown) {
        peerGone();
        co_return false;
    }
    Place place(*this, exchange);
    const bool inTurn = isFirst(exchange) || (!fault && mayRunAhead(exchange, request));
    if (!inTurn) {
        const bool mine = co_await waitTurn(exchange);
        if (!mine || m_ending) {
            co_return false;
        }
    }
    if (!fault && !exchange.whole()) {
        m_reading = Reading::Request;
        fault = co_await exchange.readBody(request);
        m_reading = Reading::Nothing;
    }
    if (fault) {
        co_await refuse(exchange, std::move(*fault));
        co_return false;
    }
    m_channel.deadline.clear();
    place.start();
    if (exchange.quiet()) {
        watchPeer();
        readAhead();
    }
    auto response = co_await handle(exchange, std::move(request));
    if (exchange.cancellation().cancelled()) {
        co_return false;
    }
    co_await exchange.answer(std::move(response));
    const bool leftUnread = !exchange.quiet() || (!exchange.keepsConnection() && m_channel.buffer.size() > 0);
    if (leftUnread && !exchange.failed()) {
        co_await linger();
        co_return false;
    }
    co_return exchange.keepsConnection();
}

// A request that must not run twice waits for the answers before it: if one of
// them closes the connection, the peer takes what is behind it for unread and
// sends it again. One with a body waits as well, since bodies are read one at a
// time.
bool HttpServerConnection::mayRunAhead(const ServerExchange &exchange, const HttpRequest &request) const
{
    const auto &options = m_state->options;
    return exchange.whole() && m_state->ahead < MaxAhead && options.mayRunAhead && options.mayRunAhead(request);
}

// A handler that throws must not take the connection's coroutine with it: the
// request would count as in flight for good, so that a drain never ends, and
// its caller would wait for nothing.
asio::awaitable<HttpResponse> HttpServerConnection::handle(ServerExchange &exchange, HttpRequest request)
{
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

asio::awaitable<void> HttpServerConnection::refuse(ServerExchange &exchange, RequestFault fault)
{
    if (fault.status == http::status::unknown) {
        co_return;
    }
    const auto error = co_await exchange.refuse(std::move(fault));
    if (!error) {
        co_await linger();
    }
}

asio::awaitable<void> HttpServerConnection::linger()
{
    ErrorCode error;
    m_channel.socket.shutdown(Tcp::socket::shutdown_send, error);
    limitTime(LingerTime);
    std::size_t dropped = 0;
    while (!error && dropped < LingerBytes) {
        dropped += m_channel.buffer.size();
        m_channel.buffer.clear();
        error = co_await m_channel.readMore();
    }
}

bool HttpServerConnection::isFirst(const ServerExchange &exchange) const
{
    return !m_closed && m_line.front() == &exchange;
}

asio::awaitable<bool> HttpServerConnection::waitTurn(ServerExchange &exchange)
{
    while (m_line.front() != &exchange && !m_closed) {
        exchange.turn.emplace(co_await asio::this_coro::executor, TimePoint::max());
        ErrorCode ignored;
        co_await exchange.turn->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return !m_closed;
}

void HttpServerConnection::endWithAnswer()
{
    m_ending = true;
}

bool HttpServerConnection::startedBehind(const ServerExchange &exchange) const
{
    const auto place = std::find(m_line.begin(), m_line.end(), &exchange);
    return std::any_of(place + 1, m_line.end(), [](const auto *behind) { return behind->started; });
}

void HttpServerConnection::leaveLine(ServerExchange &exchange)
{
    m_line.erase(std::find(m_line.begin(), m_line.end(), &exchange));
    if (m_closed) {
        return;
    }
    if (!m_line.empty()) {
        if (m_line.front()->turn) {
            m_line.front()->turn->cancel();
        }
        watchPeer();
        readAhead();
        return;
    }
    const auto &limits = m_state->options.limits;
    if (m_reading != Reading::Nothing) {
        limitTime(m_reading == Reading::Idle ? limits.idleTimeout : limits.headerTimeout);
    }
}

// Another coroutine reads on if the peer has sent more behind a request that a
// handler has. Not while the server stops: what isn't read then is sent again by
// the peer to another node.
void HttpServerConnection::readAhead()
{
    const bool wanted = m_state->options.mayRunAhead && m_channel.buffer.size() > 0 && !m_state->draining && !m_ending;
    const bool handled = m_reading == Reading::Nothing && !m_line.empty() && m_line.back()->started;
    if (!wanted || !handled || !m_line.back()->whole() || !m_line.back()->keepsConnection() || m_line.size() >= MaxInLine) {
        return;
    }
    m_reading = Reading::Request;
    asio::co_spawn(m_channel.socket.get_executor(), readFrom(++m_reader), asio::detached);
}

// Looks now and then whether the peer has closed. To wait for it would cost
// each call an operation and a system call; most calls end before the first
// look.
void HttpServerConnection::watchPeer()
{
    m_channel.deadline.set(Clock::now() + PeerCheckInterval);
    m_watching = true;
}

void HttpServerConnection::timeUp()
{
    if (m_watching && handling()) {
        checkPeer();
    } else {
        m_channel.abort();
    }
}

// What the peer sent ahead is read into the bounded buffer, since a close can
// be seen only behind it. Once the buffer is full the peer isn't watched any
// more until its next request. While a coroutine reads, that one sees the close.
void HttpServerConnection::checkPeer()
{
    auto &buffer = m_channel.buffer;
    const auto room = buffer.max_size() - buffer.size();
    if (m_reading != Reading::Nothing || m_line.empty() || !m_line.back()->quiet() || room == 0) {
        return;
    }
    ErrorCode error;
    buffer.commit(m_channel.socket.read_some(buffer.prepare(room), error));
    if (error && error != asio::error::would_block) {
        peerGone();
        return;
    }
    watchPeer();
    readAhead();
}

// Nobody waits for the answers to what is in the line.
void HttpServerConnection::peerGone()
{
    m_peerGone = true;
    const auto line = m_line;
    for (auto *exchange : line) {
        exchange->cancellation().cancel();
    }
}

}
