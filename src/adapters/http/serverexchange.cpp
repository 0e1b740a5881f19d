#include "adapters/http/serverexchange.h"

#include "adapters/http/httpserverconnection.h"
#include "core/calls/callheaders.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>

namespace Galenahill {

namespace {

constexpr std::size_t PartBytes = 64 * 1024;

constexpr std::string_view ContinueLine = "HTTP/1.1 100 Continue\r\n\r\n";

bool hasNoBody(http::status status)
{
    return status == http::status::no_content || status == http::status::not_modified;
}

}

// The rest of a request's body, read from the connection on demand.
class ServerExchange::RequestBody : public BodySource
{
public:
    explicit RequestBody(ServerExchange &exchange)
        : m_exchange(exchange)
    {
    }

    asio::awaitable<ErrorCode> read(std::string &part, std::size_t limit) override
    {
        m_readStarted = true;
        auto &connection = m_exchange.m_connection;
        connection.setTimeLimit(connection.options().readTimeout);
        ErrorCode error = co_await m_exchange.sendContinue();
        if (!error) {
            error = co_await m_exchange.m_reader.readBody(part, limit);
        }
        m_exchange.m_channel.deadline.clear();
        m_exchange.m_failed = m_exchange.m_failed || error;
        if (done()) {
            connection.watchPeer();
        }
        co_return error;
    }

    bool done() const override
    {
        return m_exchange.m_reader.done();
    }

    bool readStarted() const override
    {
        return m_readStarted;
    }

    std::optional<std::uint64_t> length() const override
    {
        return m_exchange.m_reader.contentLength();
    }

private:
    ServerExchange &m_exchange;
    bool m_readStarted = false;
};

ServerExchange::ServerExchange(HttpServerConnection &connection)
    : m_connection(connection)
    , m_channel(connection.channel())
    , m_reader(m_channel, connection.options().limits.headerBytes, connection.options().limits.bodyBytes)
{
    m_channel.buffer.max_size(std::max<std::size_t>(ReadAheadBytes, connection.options().limits.headerBytes));
}

ServerExchange::~ServerExchange()
{
    m_connection.bufferedBytes() -= m_bufferedBytes;
}

asio::awaitable<std::optional<RequestError>> ServerExchange::readHeader(HttpRequest &request)
{
    const auto error = co_await m_reader.readHeader();
    if (error) {
        co_return requestErrorOf(error);
    }
    auto header = m_reader.takeHeader();
    if (auto requestError = checkHeader(header)) {
        co_return requestError;
    }
    request = HttpRequest(std::move(header));
    m_version = request.version();
    m_isHead = request.method() == http::verb::head;
    m_keepAlive = m_reader.keepAlive();
    const auto expected = request[http::field::expect];
    m_continueExpected = boost::algorithm::iequals(expected, "100-continue") && request.version() >= 11;
    if (!expected.empty() && !m_continueExpected) {
        co_return RequestError{http::status::expectation_failed, "unsupported Expect field; only 100-continue is supported"};
    }
    request.erase(http::field::expect);
    co_return std::nullopt;
}

bool ServerExchange::peerAwaitsContinue() const
{
    return m_connection.options().peersWaitForContinue && m_continueExpected;
}

// Whether the body is read before the handler gets the request. A body of unknown length is, up
// to the limit for buffered bodies.
bool ServerExchange::buffersBody() const
{
    const auto &options = m_connection.options();
    if (!options.streamBodies) {
        return true;
    }
    const auto length = m_reader.contentLength().value_or(0);
    return !peerAwaitsContinue() && length <= options.bufferedBodyBytes && m_connection.bufferedBytes() + length <= options.totalBufferedBytes;
}

asio::awaitable<std::optional<RequestError>> ServerExchange::readBody(HttpRequest &request)
{
    const auto &options = m_connection.options();
    const auto length = m_reader.contentLength();
    m_connection.setTimeLimit(options.readTimeout);
    const bool buffered = buffersBody();
    // If the string grew step by step, a body of several hundred kilobytes would take twice its
    // size for a moment.
    if (buffered && length) {
        m_bufferedBytes = *length;
        m_connection.bufferedBytes() += m_bufferedBytes;
        request.body().reserve(*length);
    }
    while (buffered && !m_reader.done() && !(options.streamBodies && request.body().size() >= options.bufferedBodyBytes)) {
        ErrorCode error = co_await sendContinue();
        if (!error) {
            const auto step = length ? std::min<std::uint64_t>(*length - request.body().size(), PartBytes) : ReadAheadBytes;
            error = co_await m_reader.readBody(request.body(), step);
        }
        if (error) {
            co_return requestErrorOf(error);
        }
    }
    if (!m_reader.done()) {
        m_body = std::make_unique<RequestBody>(*this);
    }
    co_return std::nullopt;
}

asio::awaitable<ErrorCode> ServerExchange::sendContinue()
{
    const bool needed = std::exchange(m_continueExpected, false) && m_channel.buffer.size() == 0;
    if (!needed) {
        co_return ErrorCode();
    }
    const auto line = asio::buffer(ContinueLine);
    co_return co_await m_channel.write(line);
}

std::optional<RequestError> ServerExchange::requestErrorOf(const ErrorCode &error) const
{
    if (m_reader.requestError()) {
        return m_reader.requestError();
    }
    if (error == http::error::header_limit) {
        return RequestError{http::status::request_header_fields_too_large, "the request header exceeds this server's limit; shorten it"};
    }
    if (error == http::error::body_limit) {
        return RequestError{http::status::payload_too_large, "the request body exceeds this server's limit; shorten it"};
    }
    if (error == asio::error::timed_out) {
        return RequestError{http::status::request_timeout, "the request did not arrive completely within the time limit; send it without pauses"};
    }
    const bool malformed = error.category() == http::make_error_code(http::error::bad_method).category() && error != http::error::partial_message;
    if (malformed || error == boost::system::errc::no_buffer_space) {
        return RequestError{http::status::bad_request, "malformed request: " + error.message()};
    }
    return RequestError{http::status::unknown, {}};
}

HttpResponse ServerExchange::handlerFailed(const std::string &reason)
{
    m_keepAlive = false;
    auto response = makeErrorResponse(http::status::internal_server_error, "internal", "the request handler failed: " + reason);
    response.set(CallHeaders::Outcome, CallHeaders::OutcomeUnknown);
    return response;
}

// Closing the connection discards the requests that were read after this one. While the server
// drains, the connection is kept until the last of them is answered.
bool ServerExchange::keepsAfterResponse() const
{
    const bool continues = !m_connection.draining() || m_connection.hasArrivedAfter(*this);
    return m_keepAlive && !m_failed && noBytesPending() && continues;
}

asio::awaitable<void> ServerExchange::respond(HttpResponse response)
{
    if (m_responded) {
        co_return;
    }
    bool isTurn = m_connection.isFirst(*this);
    if (!isTurn) {
        isTurn = co_await m_connection.waitTurn(*this);
    }
    if (!isTurn) {
        m_failed = true;
        co_return;
    }
    m_keepAlive = keepsAfterResponse();
    if (!m_keepAlive) {
        m_connection.closeAfterResponse();
    }
    response.version(m_version);
    response.keep_alive(m_keepAlive);
    response.erase(http::field::transfer_encoding);
    if (hasNoBody(response.result())) {
        response.body().clear();
        response.erase(http::field::content_length);
    } else if (!m_isHead || response.count(http::field::content_length) == 0) {
        response.content_length(response.body().size());
    }
    if (m_isHead) {
        response.body().clear();
    }
    m_connection.limitSending();
    const auto error = co_await m_channel.writeMessage(response);
    m_failed = m_failed || error;
}

asio::awaitable<StreamResult> ServerExchange::sendStreamed(HttpResponse response, BodySource &rest)
{
    m_responded = true;
    bool isTurn = m_connection.isFirst(*this);
    if (!isTurn) {
        isTurn = co_await m_connection.waitTurn(*this);
    }
    if (!isTurn) {
        m_failed = true;
        co_return StreamResult{.error = asio::error::operation_aborted};
    }
    const auto length = rest.length();
    const bool chunked = !length && m_version >= 11;
    m_keepAlive = keepsAfterResponse() && (length || chunked);
    if (!m_keepAlive) {
        m_connection.closeAfterResponse();
    }
    std::string part = std::move(response.body());
    http::response<http::empty_body> header(std::move(response.base()));
    header.version(m_version);
    header.keep_alive(m_keepAlive);
    if (length) {
        header.content_length(*length);
    } else {
        header.chunked(chunked);
    }
    // Without a length or chunks, the peer takes an orderly end of the connection for that of the body.
    const bool endsWithConnection = !length && !chunked;
    if (endsWithConnection) {
        m_channel.setResetOnClose(true);
    }
    m_connection.limitSending();
    StreamResult result;
    result.error = co_await m_channel.writeHeader(header);
    if (!result.error) {
        result = co_await sendParts(std::move(part), rest, chunked);
    }
    m_failed = m_failed || result.error;
    if (endsWithConnection && result.error) {
        m_connection.resetAfterResponse();
    } else if (endsWithConnection) {
        m_channel.setResetOnClose(false);
    }
    co_return result;
}

asio::awaitable<StreamResult> ServerExchange::sendParts(std::string part, BodySource &rest, bool chunked)
{
    StreamResult result;
    auto &error = result.error;
    while (!error && !(part.empty() && rest.done())) {
        if (part.empty()) {
            m_connection.watchPeer();
            error = co_await rest.read(part, PartBytes);
            result.sourceFailed = static_cast<bool>(error);
            continue;
        }
        m_connection.limitSending();
        const auto buffer = asio::buffer(part);
        if (chunked) {
            const auto chunk = http::make_chunk(buffer);
            error = co_await m_channel.write(chunk);
        } else {
            error = co_await m_channel.write(buffer);
        }
        result.bytes += error ? 0 : part.size();
        part.clear();
    }
    if (!error && chunked) {
        const auto last = http::make_chunk_last();
        m_connection.limitSending();
        error = co_await m_channel.write(last);
    }
    co_return result;
}

asio::awaitable<ErrorCode> ServerExchange::reject(RequestError requestError)
{
    m_connection.closeAfterResponse();
    auto response = makeErrorResponse(requestError.status, "invalid", requestError.message);
    response.set(CallHeaders::Outcome, CallHeaders::NotRun);
    response.keep_alive(false);
    m_connection.limitSending();
    co_return co_await m_channel.writeMessage(response);
}

bool ServerExchange::isComplete() const
{
    return m_reader.done();
}

bool ServerExchange::noBytesPending() const
{
    return m_reader.done() || peerAwaitsContinue();
}

bool ServerExchange::keepsConnection() const
{
    return m_keepAlive && !m_failed;
}

bool ServerExchange::failed() const
{
    return m_failed;
}

bool ServerExchange::peerClosed()
{
    return m_connection.peerClosed();
}

std::string ServerExchange::peerAddress() const
{
    return m_connection.peer().address;
}

std::uint16_t ServerExchange::peerPort() const
{
    return m_connection.peer().port;
}

void ServerExchange::setRequestId(const std::string &id)
{
    m_requestId = id;
}

const std::string &ServerExchange::requestId() const
{
    return m_requestId;
}

Cancellation &ServerExchange::cancellation()
{
    return m_cancellation;
}

BodySource *ServerExchange::requestBody()
{
    return m_body.get();
}

}
