#include "adapters/http/httpserverconnection.h"

#include "core/calls/callheaders.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>

namespace Galenahill {

namespace {

constexpr std::size_t PartBytes = 64 * 1024;

// After a refusal the rest of the request is read and dropped for so long and
// so much: closing with unread bytes resets the connection, and the peer
// would lose the answer that tells it what is wrong.
constexpr Milliseconds LingerTime{1000};
constexpr std::size_t LingerBytes = 256 * 1024;

// How soon a handler learns that its peer has closed. Two nodes stand between
// a caller and its target, so that the target stops within a quarter of a
// second; looking five times as often took a fifth of an idle node's time.
constexpr Milliseconds PeerCheckInterval{100};

constexpr std::string_view ContinueLine = "HTTP/1.1 100 Continue\r\n\r\n";

// Counts a request as in flight while it exists, whatever ends the handler.
class InFlight
{
public:
    InFlight(std::size_t &count, bool &handling)
        : m_count(count)
        , m_handling(handling)
    {
        ++m_count;
        m_handling = true;
    }

    ~InFlight()
    {
        --m_count;
        m_handling = false;
    }

    InFlight(const InFlight &) = delete;
    InFlight &operator=(const InFlight &) = delete;

private:
    std::size_t &m_count;
    bool &m_handling;
};

bool bodyless(http::status status)
{
    return status == http::status::no_content || status == http::status::not_modified;
}

}

// The rest of a request's body, read from the connection as it is asked for.
class HttpServerConnection::RequestBody : public BodySource
{
public:
    explicit RequestBody(HttpServerConnection &connection)
        : m_connection(connection)
    {
    }

    asio::awaitable<ErrorCode> read(std::string &part, std::size_t limit) override
    {
        m_taken = true;
        auto &exchange = *m_connection.m_exchange;
        m_connection.limitTime(m_connection.m_state->options.readTimeout);
        ErrorCode error = co_await m_connection.sendContinue();
        if (!error) {
            error = co_await exchange.reader.readBody(part, limit);
        }
        m_connection.m_channel.deadline.clear();
        exchange.failed = exchange.failed || error;
        if (exchange.reader.done()) {
            m_connection.watchPeer();
        }
        co_return error;
    }

    bool done() const override
    {
        return m_connection.m_exchange->reader.done();
    }

    bool taken() const override
    {
        return m_taken;
    }

    std::optional<std::uint64_t> length() const override
    {
        return m_connection.m_exchange->reader.contentLength();
    }

private:
    HttpServerConnection &m_connection;
    bool m_taken = false;
};

HttpServerConnection::Exchange::Exchange(TcpChannel &channel, const HttpServer::Options &options)
    : reader(channel, options.limits.headerBytes, options.limits.bodyBytes)
{
    channel.buffer.max_size(std::max<std::size_t>(ReadAheadBytes, options.limits.headerBytes));
}

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
    // GCC 12 runs a co_await behind && whatever stands before it, so each
    // condition that awaits is a statement of its own.
    bool open = co_await waitForRequest();
    while (open) {
        m_busy = true;
        m_since = Clock::now();
        open = co_await serveRequest();
        m_exchange.reset();
        m_busy = false;
        if (open) {
            open = co_await waitForRequest();
        }
    }
    close();
}

void HttpServerConnection::close()
{
    m_channel.close();
}

Deadline &HttpServerConnection::deadline()
{
    return m_channel.deadline;
}

bool HttpServerConnection::busy() const
{
    return m_busy;
}

bool HttpServerConnection::handling() const
{
    return m_handling;
}

TimePoint HttpServerConnection::since() const
{
    return m_since;
}

bool HttpServerConnection::peerClosed()
{
    return m_peerGone || m_channel.peerClosed();
}

std::string HttpServerConnection::peerAddress() const
{
    return m_peerAddress;
}

Cancellation &HttpServerConnection::cancellation()
{
    return m_exchange->cancellation;
}

BodySource *HttpServerConnection::requestBody()
{
    return m_exchange->body.get();
}

void HttpServerConnection::limitTime(Milliseconds time)
{
    m_watching = false;
    m_channel.deadline.set(Clock::now() + time);
}

asio::awaitable<bool> HttpServerConnection::waitForRequest()
{
    if (m_peerGone) {
        co_return false;
    }
    if (m_channel.buffer.size() > 0) {
        co_return true;
    }
    m_since = Clock::now();
    limitTime(m_state->options.limits.idleTimeout);
    const auto error = co_await m_channel.readMore();
    co_return !error;
}

asio::awaitable<bool> HttpServerConnection::serveRequest()
{
    const auto &options = m_state->options;
    m_exchange.emplace(m_channel, options);
    auto &exchange = *m_exchange;
    HttpRequest request;
    limitTime(options.limits.headerTimeout);
    auto fault = co_await readRequest(request);
    if (fault) {
        if (fault->status != http::status::unknown) {
            co_await refuse(std::move(*fault));
        }
        co_return false;
    }
    m_channel.deadline.clear();
    const InFlight inFlight(m_state->inFlight, m_handling);
    if (exchange.reader.done()) {
        watchPeer();
    }
    auto response = co_await handle(std::move(request));
    if (exchange.cancellation.cancelled()) {
        co_return false;
    }
    if (!exchange.answered) {
        co_await answer(std::move(response));
    }
    if (!exchange.reader.done() && !exchange.failed) {
        co_await linger();
        co_return false;
    }
    co_return exchange.keepAlive && !exchange.failed;
}

asio::awaitable<std::optional<RequestFault>> HttpServerConnection::readRequest(HttpRequest &request)
{
    auto &exchange = *m_exchange;
    const auto headerError = co_await exchange.reader.readHeader();
    if (headerError) {
        co_return faultOf(headerError);
    }
    auto header = exchange.reader.takeHeader();
    if (auto fault = checkHeader(header)) {
        co_return fault;
    }
    request = HttpRequest(std::move(header));
    exchange.version = request.version();
    exchange.head = request.method() == http::verb::head;
    exchange.keepAlive = exchange.reader.keepAlive();
    const auto expected = request[http::field::expect];
    exchange.continueExpected = boost::algorithm::iequals(expected, "100-continue") && request.version() >= 11;
    if (!expected.empty() && !exchange.continueExpected) {
        co_return RequestFault{http::status::expectation_failed, "the only expectation met is 100-continue"};
    }
    request.erase(http::field::expect);
    if (!exchange.reader.done()) {
        const auto bodyError = co_await readBody(request);
        if (bodyError) {
            co_return faultOf(bodyError);
        }
    }
    co_return std::nullopt;
}

asio::awaitable<ErrorCode> HttpServerConnection::readBody(HttpRequest &request)
{
    auto &exchange = *m_exchange;
    auto &reader = exchange.reader;
    const auto &options = m_state->options;
    const auto length = reader.contentLength();
    limitTime(options.readTimeout);
    const bool held = !options.streamBodies || (length ? *length <= options.bufferedBodyBytes : true);
    while (held && !reader.done() && !(options.streamBodies && request.body().size() >= options.bufferedBodyBytes)) {
        ErrorCode error = co_await sendContinue();
        if (!error) {
            const auto step = length ? std::min<std::uint64_t>(*length - request.body().size(), PartBytes) : ReadAheadBytes;
            error = co_await reader.readBody(request.body(), step);
        }
        if (error) {
            co_return error;
        }
    }
    if (!reader.done()) {
        exchange.body = std::make_unique<RequestBody>(*this);
    }
    co_return ErrorCode();
}

asio::awaitable<ErrorCode> HttpServerConnection::sendContinue()
{
    const bool needed = std::exchange(m_exchange->continueExpected, false) && m_channel.buffer.size() == 0;
    if (!needed) {
        co_return ErrorCode();
    }
    const auto line = asio::buffer(ContinueLine);
    co_return co_await m_channel.write(line);
}

// What to answer to a request that couldn't be read; status unknown if the
// peer went away, so that nobody is left to answer.
std::optional<RequestFault> HttpServerConnection::faultOf(const ErrorCode &error) const
{
    if (m_exchange->reader.fault()) {
        return m_exchange->reader.fault();
    }
    if (error == http::error::header_limit) {
        return RequestFault{http::status::request_header_fields_too_large, "the header is larger than this server takes; shorten it"};
    }
    if (error == http::error::body_limit) {
        return RequestFault{http::status::payload_too_large, "the body is larger than this server takes; shorten it"};
    }
    if (error == asio::error::timed_out) {
        return RequestFault{http::status::request_timeout, "the request didn't arrive in time; send it at once"};
    }
    const bool malformed = error.category() == http::make_error_code(http::error::bad_method).category() && error != http::error::partial_message;
    if (malformed || error == boost::system::errc::no_buffer_space) {
        return RequestFault{http::status::bad_request, "the request can't be read: " + error.message()};
    }
    return RequestFault{http::status::unknown, {}};
}

// A handler that throws must not take the connection's coroutine with it: the
// request would count as in flight for good, so that a drain never ends, and
// its caller would wait for nothing. What it had done by then isn't known.
asio::awaitable<HttpResponse> HttpServerConnection::handle(HttpRequest request)
{
    std::string reason;
    try {
        co_return co_await m_state->options.handler(std::move(request), *this);
    } catch (const std::exception &exception) {
        reason = exception.what();
    } catch (...) {
        reason = "unknown exception";
    }
    m_exchange->keepAlive = false;
    auto response = makeErrorResponse(http::status::internal_server_error, "internal", "handling the request failed: " + reason);
    response.set(CallHeaders::Outcome, CallHeaders::OutcomeUnknown);
    co_return response;
}

asio::awaitable<void> HttpServerConnection::answer(HttpResponse response)
{
    auto &exchange = *m_exchange;
    exchange.keepAlive = exchange.keepAlive && !m_state->draining && exchange.reader.done() && !exchange.failed;
    response.version(exchange.version);
    response.keep_alive(exchange.keepAlive);
    response.erase(http::field::transfer_encoding);
    if (bodyless(response.result())) {
        response.body().clear();
        response.erase(http::field::content_length);
    } else if (!exchange.head || response.count(http::field::content_length) == 0) {
        response.content_length(response.body().size());
    }
    if (exchange.head) {
        response.body().clear();
    }
    limitTime(m_state->options.readTimeout);
    const auto error = co_await m_channel.writeMessage(response);
    exchange.failed = exchange.failed || error;
}

asio::awaitable<void> HttpServerConnection::sendStreamed(HttpResponse response, BodySource &rest)
{
    auto &exchange = *m_exchange;
    exchange.answered = true;
    const auto length = rest.length();
    const bool chunked = !length && exchange.version >= 11;
    exchange.keepAlive = exchange.keepAlive && !m_state->draining && exchange.reader.done() && (length || chunked);
    std::string part = std::move(response.body());
    http::response<http::empty_body> header(std::move(response.base()));
    header.version(exchange.version);
    header.keep_alive(exchange.keepAlive);
    if (length) {
        header.content_length(*length);
    } else {
        header.chunked(chunked);
    }
    limitTime(m_state->options.readTimeout);
    ErrorCode error = co_await m_channel.writeHeader(header);
    while (!error && !(part.empty() && rest.done())) {
        if (part.empty()) {
            watchPeer();
            error = co_await rest.read(part, PartBytes);
            continue;
        }
        limitTime(m_state->options.readTimeout);
        const auto buffer = asio::buffer(part);
        if (chunked) {
            const auto chunk = http::make_chunk(buffer);
            error = co_await m_channel.write(chunk);
        } else {
            error = co_await m_channel.write(buffer);
        }
        part.clear();
    }
    if (!error && chunked) {
        const auto last = http::make_chunk_last();
        limitTime(m_state->options.readTimeout);
        error = co_await m_channel.write(last);
    }
    exchange.failed = exchange.failed || error;
}

asio::awaitable<void> HttpServerConnection::refuse(RequestFault fault)
{
    auto response = makeErrorResponse(fault.status, "invalid", fault.message);
    response.set(CallHeaders::Outcome, CallHeaders::NotRun);
    response.keep_alive(false);
    limitTime(m_state->options.readTimeout);
    const auto error = co_await m_channel.writeMessage(response);
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
    if (m_watching && m_handling) {
        checkPeer();
    } else {
        m_channel.abort();
    }
}

// What the peer sent ahead is read into the bounded buffer, since a close can
// be seen only behind it. Once the buffer is full the peer isn't watched any
// more until its next request.
void HttpServerConnection::checkPeer()
{
    auto &buffer = m_channel.buffer;
    if (!m_exchange->reader.done()) {
        return;
    }
    const auto room = buffer.max_size() - buffer.size();
    if (room == 0) {
        return;
    }
    ErrorCode error;
    buffer.commit(m_channel.socket.read_some(buffer.prepare(room), error));
    if (error && error != asio::error::would_block) {
        m_peerGone = true;
        m_exchange->cancellation.cancel();
        return;
    }
    watchPeer();
}

}
