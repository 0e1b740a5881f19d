#include "adapters/http/clientexchange.h"

#include "adapters/http/responsecheck.h"

#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <charconv>
#include <fmt/format.h>
#include <string_view>

namespace Galenahill {

namespace {

constexpr std::uint32_t MaxResponseHeaderBytes = 16 * 1024;
constexpr std::size_t PartBytes = 64 * 1024;

// Larger bodies are sent only after 100 Continue, if the caller wants that. On a link of
// 5 Mbit/s, a round trip of a few milliseconds costs less than sending 4 KB in vain.
constexpr std::size_t ExpectContinueBytes = 4096;

// Messages before the final response that are read: interim responses, and responses to earlier requests. A server that
// sends more sends no response.
constexpr int MaxInterimResponses = 16;
constexpr int MaxMismatchedResponses = 8;

// A body without a stated length may never end, so it has this time after the exchange's deadline. One with a stated length
// ends, and has the time that it takes at the lowest speed.
constexpr Milliseconds UnstatedLengthTime{1000};
constexpr std::uint64_t MinBytesPerSecond = 64 * 1024;

// The time for which the server keeps the connection open when idle, from the Keep-Alive field.
Milliseconds serverKeepAlive(const HttpResponse &response)
{
    const auto field = response[http::field::keep_alive];
    const std::string_view text(field.data(), field.size());
    constexpr std::string_view Name = "timeout=";
    const auto begin = text.find(Name);
    std::uint32_t seconds = 0;
    if (begin == std::string_view::npos) {
        return Milliseconds::max();
    }
    const auto digits = text.substr(begin + Name.size());
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return parsed.ec == std::errc() ? Milliseconds(std::uint64_t(seconds) * 1000) : Milliseconds::max();
}

void setLength(HttpRequest &request)
{
    const bool mayHaveBody = request.method() != http::verb::get && request.method() != http::verb::head;
    request.erase(http::field::transfer_encoding);
    if (!request.body().empty() || mayHaveBody) {
        request.content_length(request.body().size());
    } else {
        request.erase(http::field::content_length);
    }
}

}

// The rest of a response's body. It owns the connection, which returns to the pool once the body
// has been read to its end, and is closed otherwise.
class ClientExchange::ResponseBody : public BodySource
{
public:
    explicit ResponseBody(std::shared_ptr<ClientExchange> exchange)
        : m_exchange(std::move(exchange))
    {
    }

    asio::awaitable<ErrorCode> read(std::string &part, std::size_t limit) override
    {
        m_readStarted = true;
        auto &exchange = *m_exchange;
        exchange.m_connection->channel.deadline.set(std::min(std::max<TimePoint>(Clock::now() + exchange.m_partTimeout, exchange.m_deadline), latestEnd()));
        const auto error = co_await exchange.m_reader->readBody(part, limit);
        exchange.m_connection->channel.deadline.clear();
        if (!error && done()) {
            exchange.finish();
        }
        co_return error;
    }

    bool done() const override
    {
        return m_exchange->m_reader->done();
    }

    bool readStarted() const override
    {
        return m_readStarted;
    }

    std::optional<std::uint64_t> length() const override
    {
        return m_exchange->m_reader->contentLength();
    }

private:
    // When the body has to be complete.
    TimePoint latestEnd() const
    {
        const auto stated = length();
        return m_exchange->m_deadline
            + (stated ? m_exchange->m_partTimeout + Milliseconds(*stated * 1000 / MinBytesPerSecond)
                      : std::chrono::duration_cast<Milliseconds>(UnstatedLengthTime));
    }

    std::shared_ptr<ClientExchange> m_exchange;
    bool m_readStarted = false;
};

ClientExchange::ClientExchange(std::shared_ptr<ConnectionPool> pool, std::unique_ptr<ClientConnection> connection, const HttpClient::Options &options)
    : m_pool(std::move(pool))
    , m_connection(std::move(connection))
    , m_maxBodyBytes(options.maxBodyBytes)
    , m_bufferedBodyBytes(options.bufferedBodyBytes)
    , m_partTimeout(options.partTimeout)
{
}

bool ClientExchange::sent() const
{
    return m_sent;
}

void ClientExchange::abort()
{
    m_aborted = true;
    if (m_connection) {
        m_connection->channel.close();
    }
}

tl::unexpected<Error> ClientExchange::exchangeFailure(const std::string &what, const ErrorCode &error) const
{
    const auto reason = m_aborted ? "cancelled by the caller" : error.message();
    return failure(
        m_sent ? ErrorKind::OutcomeUnknown : ErrorKind::Unavailable, fmt::format("{}: {}: {}", toString(m_connection->owner->endpoint), what, reason));
}

asio::awaitable<Result<HttpResponse>> ClientExchange::run(HttpRequest &request, TimePoint deadline, HttpClient::ExchangeOptions exchangeOptions)
{
    auto &channel = m_connection->channel;
    channel.deadline.set(deadline);
    m_deadline = deadline;
    m_isHead = request.method() == http::verb::head;
    m_notReusable = exchangeOptions.closeAfterwards;
    m_maxBodyBytes = exchangeOptions.maxBodyBytes.value_or(m_maxBodyBytes);
    const auto sendError = co_await send(request, exchangeOptions);
    // A connection that broke while 100 Continue was awaited carries no response. If reading
    // continued, the empty header would be taken for a success at the end of the connection.
    if (sendError && !m_sendsBody) {
        co_return exchangeFailure("no response", sendError);
    }
    // A server that rejects the request may close the connection before it has read everything;
    // its response can still be read.
    m_notReusable = m_notReusable || sendError;
    if (sendError && (m_aborted || channel.deadline.passed() || !channel.readable())) {
        co_return exchangeFailure("sending the request failed", sendError);
    }
    ErrorCode error;
    if (!m_reader) {
        error = co_await readHeader(false);
    }
    // If a target responds to a request twice, the second response arrives where the next request
    // on the connection expects its own.
    for (int mismatched = 0; !error && exchangeOptions.matchesRequest && !exchangeOptions.matchesRequest(m_reader->header()); ++mismatched) {
        error = mismatched < MaxMismatchedResponses ? ErrorCode() : ErrorCode(http::error::unexpected_body);
        if (!error) {
            error = co_await discardResponse();
        }
        if (!error) {
            error = co_await readHeader(false);
        }
    }
    if (error) {
        co_return exchangeFailure("no response", error);
    }
    HttpResponse response(m_reader->takeHeader());
    mergeRepeatedLengths(response);
    m_connection->ambiguous = m_connection->ambiguous || (exchangeOptions.isAmbiguous && exchangeOptions.isAmbiguous(response));
    m_serverKeepAlive = serverKeepAlive(response);
    error = co_await readBody(response, exchangeOptions.responseBody != nullptr);
    if (error) {
        co_return exchangeFailure("the response is incomplete", error);
    }
    if (m_reader->done()) {
        finish();
    } else {
        channel.deadline.clear();
        *exchangeOptions.responseBody = std::make_unique<ResponseBody>(shared_from_this());
    }
    co_return response;
}

asio::awaitable<ErrorCode> ClientExchange::send(HttpRequest &request, const HttpClient::ExchangeOptions &exchangeOptions)
{
    const bool streamed = exchangeOptions.requestBody != nullptr;
    const bool expectContinue = exchangeOptions.expectContinue && (streamed || request.body().size() > ExpectContinueBytes);
    m_sent = true;
    if (!streamed && !expectContinue) {
        setLength(request);
        co_return co_await m_connection->channel.writeMessage(request);
    }
    ErrorCode error = co_await sendHeader(request, exchangeOptions, expectContinue);
    if (error || !m_sendsBody) {
        co_return error;
    }
    // GCC 12 evaluates both branches of a conditional expression that awaits.
    if (streamed) {
        error = co_await sendBody(request, *exchangeOptions.requestBody);
    } else {
        error = co_await sendBufferedBody(request);
    }
    co_return error;
}

// Sends the header, and waits for 100 Continue if `expectContinue` is set. After a final
// response, such as a rejection, the body isn't sent.
asio::awaitable<ErrorCode> ClientExchange::sendHeader(HttpRequest &request, const HttpClient::ExchangeOptions &exchangeOptions, bool expectContinue)
{
    http::request<http::empty_body> header(request.base());
    const auto length = exchangeOptions.requestBody != nullptr ? exchangeOptions.requestBody->length() : std::optional<std::uint64_t>(request.body().size());
    if (length) {
        header.content_length(*length);
    } else {
        header.chunked(true);
    }
    if (expectContinue) {
        header.set(http::field::expect, "100-continue");
    }
    ErrorCode error = co_await m_connection->channel.writeHeader(header);
    if (error || !expectContinue) {
        co_return error;
    }
    error = co_await readHeader(true);
    if (error) {
        m_sendsBody = false;
        co_return error;
    }
    m_sendsBody = isInterim(m_reader->header());
    if (m_sendsBody) {
        m_reader.reset();
    }
    co_return error;
}

asio::awaitable<ErrorCode> ClientExchange::sendBufferedBody(const HttpRequest &request)
{
    const auto buffer = asio::buffer(request.body());
    co_return co_await m_connection->channel.write(buffer);
}

// Stops sending when a response arrives before the end of the body: the server may read no
// further, and both sides would wait for each other.
asio::awaitable<ErrorCode> ClientExchange::sendBody(HttpRequest &request, BodySource &rest)
{
    auto &channel = m_connection->channel;
    const bool chunked = !rest.length();
    std::string part = request.body();
    ErrorCode error;
    while (!error && !(part.empty() && rest.done())) {
        if (part.empty()) {
            error = co_await rest.read(part, PartBytes);
            continue;
        }
        if (channel.readable()) {
            m_notReusable = true;
            co_return error;
        }
        const auto buffer = asio::buffer(part);
        if (chunked) {
            const auto chunk = http::make_chunk(buffer);
            error = co_await channel.write(chunk);
        } else {
            error = co_await channel.write(buffer);
        }
        part.clear();
    }
    if (!error && chunked) {
        const auto last = http::make_chunk_last();
        error = co_await channel.write(last);
    }
    co_return error;
}

// Reads up to the header of the final response, or of 100 Continue if that is awaited.
asio::awaitable<ErrorCode> ClientExchange::readHeader(bool untilContinue)
{
    ErrorCode error;
    int interim = 0;
    do {
        if (++interim > MaxInterimResponses) {
            co_return http::error::header_limit;
        }
        m_reader.emplace(m_connection->channel, MaxResponseHeaderBytes, m_maxBodyBytes);
        if (m_isHead) {
            m_reader->skipBody();
        }
        error = co_await m_reader->readHeader();
        if (!error) {
            error = checkStatus(m_reader->header());
        }
        if (!error) {
            error = checkFraming(m_reader->header(), m_isHead);
        }
    } while (!error && isInterim(m_reader->header()) && !(untilContinue && m_reader->header().result() == http::status::continue_));
    co_return error;
}

asio::awaitable<ErrorCode> ClientExchange::readBody(HttpResponse &response, bool streamed)
{
    auto &reader = *m_reader;
    const auto length = reader.contentLength();
    auto &body = response.body();
    // If the string grew step by step, a body of several hundred kilobytes would take twice its
    // size for a moment.
    if (length) {
        body.reserve(std::min<std::uint64_t>(*length, streamed ? m_bufferedBodyBytes : m_maxBodyBytes));
    }
    ErrorCode error;
    while (!error && !reader.done() && !(streamed && body.size() >= m_bufferedBodyBytes)) {
        const auto step = length ? std::min<std::uint64_t>(*length - body.size(), PartBytes) : ReadAheadBytes;
        error = co_await reader.readBody(body, step);
    }
    co_return error;
}

// Discards the body of a mismatched response. More of them may follow, so the connection isn't
// used again.
asio::awaitable<ErrorCode> ClientExchange::discardResponse()
{
    m_notReusable = true;
    std::string discarded;
    ErrorCode error;
    while (!error && !m_reader->done()) {
        discarded.clear();
        error = co_await m_reader->readBody(discarded, ReadAheadBytes);
    }
    co_return error;
}

// Returns the connection to the pool if nothing of this request or its response is left on it.
void ClientExchange::finish()
{
    const bool clean = m_reader->keepAlive() && m_connection->channel.buffer.size() == 0 && !m_notReusable && !m_aborted;
    if (clean) {
        m_pool->release(std::move(m_connection), m_serverKeepAlive);
    }
    m_connection.reset();
}
}
