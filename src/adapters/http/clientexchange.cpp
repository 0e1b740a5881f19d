#include "adapters/http/clientexchange.h"

#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <charconv>
#include <fmt/format.h>
#include <string_view>

namespace Galenahill {

namespace {

constexpr std::uint32_t MaxAnswerHeaderBytes = 16 * 1024;
constexpr std::size_t PartBytes = 64 * 1024;

// Body above which a server is asked before it is sent. A round trip of a few
// milliseconds costs less than 4 KB in vain on a link of 5 Mbit/s.
constexpr std::size_t AskFirstBytes = 4096;

// Time for which the server keeps the idle connection, if it says so.
Milliseconds keptByServer(const HttpResponse &response)
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

// The rest of an answer's body. It owns the connection, which goes back to
// the pool once the body has been read to its end and is closed otherwise.
class ClientExchange::AnswerBody : public BodySource
{
public:
    explicit AnswerBody(std::shared_ptr<ClientExchange> exchange)
        : m_exchange(std::move(exchange))
    {
    }

    asio::awaitable<ErrorCode> read(std::string &part, std::size_t limit) override
    {
        m_taken = true;
        auto &exchange = *m_exchange;
        exchange.m_connection->channel.deadline.set(Clock::now() + exchange.m_partTimeout);
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

    bool taken() const override
    {
        return m_taken;
    }

    std::optional<std::uint64_t> length() const override
    {
        return m_exchange->m_reader->contentLength();
    }

private:
    std::shared_ptr<ClientExchange> m_exchange;
    bool m_taken = false;
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

tl::unexpected<Error> ClientExchange::unknown(const std::string &what, const ErrorCode &error) const
{
    const auto reason = m_aborted ? "given up by the caller" : error.message();
    return failure(
        m_sent ? ErrorKind::OutcomeUnknown : ErrorKind::Unavailable, fmt::format("{}: {}: {}", toString(m_connection->owner->endpoint), what, reason));
}

asio::awaitable<Result<HttpResponse>> ClientExchange::run(HttpRequest &request, TimePoint deadline, HttpClient::Companions companions)
{
    auto &channel = m_connection->channel;
    channel.deadline.set(deadline);
    m_head = request.method() == http::verb::head;
    const auto sendError = co_await send(request, companions);
    // A connection that broke while the server was asked for the body holds no
    // answer. Read on, an empty header would pass for a success once it ends.
    if (sendError && !m_bodyWanted) {
        co_return unknown("no answer", sendError);
    }
    // A server that refuses may close before it has read everything; its
    // answer is still worth reading.
    m_cutShort = m_cutShort || sendError;
    if (sendError && (m_aborted || channel.deadline.passed() || !channel.readable())) {
        co_return unknown("sending failed", sendError);
    }
    ErrorCode error;
    if (!m_reader) {
        error = co_await readHeader(false);
    }
    // A target that answers a request twice leaves the second answer where the
    // next request on the connection expects its own.
    while (!error && companions.belongs && !companions.belongs(m_reader->fields())) {
        error = co_await dropAnswer();
        if (!error) {
            error = co_await readHeader(false);
        }
    }
    if (error) {
        co_return unknown("no answer", error);
    }
    HttpResponse response(m_reader->takeHeader());
    m_keptByServer = keptByServer(response);
    error = co_await readBody(response, companions.answerBody != nullptr);
    if (error) {
        co_return unknown("no whole answer", error);
    }
    if (m_reader->done()) {
        finish();
    } else {
        channel.deadline.clear();
        *companions.answerBody = std::make_unique<AnswerBody>(shared_from_this());
    }
    co_return response;
}

asio::awaitable<ErrorCode> ClientExchange::send(HttpRequest &request, const HttpClient::Companions &companions)
{
    const bool streamed = companions.requestBody != nullptr;
    const bool askFirst = companions.askFirst && (streamed || request.body().size() > AskFirstBytes);
    m_sent = true;
    if (!streamed && !askFirst) {
        setLength(request);
        co_return co_await m_connection->channel.writeMessage(request);
    }
    ErrorCode error = co_await sendHeader(request, companions, askFirst);
    if (error || !m_bodyWanted) {
        co_return error;
    }
    // GCC 12 runs both sides of a conditional that awaits.
    if (streamed) {
        error = co_await sendBody(request, *companions.requestBody);
    } else {
        error = co_await sendHeldBody(request);
    }
    co_return error;
}

// Sends the header, and reads whether the server wants the body if it is to be
// asked. A final answer, such as a refusal, leaves the body unsent.
asio::awaitable<ErrorCode> ClientExchange::sendHeader(HttpRequest &request, const HttpClient::Companions &companions, bool askFirst)
{
    http::request<http::empty_body> header(request.base());
    const auto length = companions.requestBody != nullptr ? companions.requestBody->length() : std::optional<std::uint64_t>(request.body().size());
    if (length) {
        header.content_length(*length);
    } else {
        header.chunked(true);
    }
    if (askFirst) {
        header.set(http::field::expect, "100-continue");
    }
    ErrorCode error = co_await m_connection->channel.writeHeader(header);
    if (error || !askFirst) {
        co_return error;
    }
    error = co_await readHeader(true);
    if (error) {
        m_bodyWanted = false;
        co_return error;
    }
    m_bodyWanted = m_reader->status() == http::status::continue_;
    if (m_bodyWanted) {
        m_reader.reset();
    }
    co_return error;
}

asio::awaitable<ErrorCode> ClientExchange::sendHeldBody(const HttpRequest &request)
{
    const auto buffer = asio::buffer(request.body());
    co_return co_await m_connection->channel.write(buffer);
}

// An answer that comes before the body is sent ends the sending: the server
// won't read on, and both sides would wait for each other.
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
            m_cutShort = true;
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

// Reads up to the header of the final answer, or of 100 Continue if wanted.
asio::awaitable<ErrorCode> ClientExchange::readHeader(bool toContinue)
{
    ErrorCode error;
    do {
        m_reader.emplace(m_connection->channel, MaxAnswerHeaderBytes, m_maxBodyBytes);
        if (m_head) {
            m_reader->skipBody();
        }
        error = co_await m_reader->readHeader();
    } while (!error && m_reader->status() < http::status::ok && !(toContinue && m_reader->status() == http::status::continue_));
    co_return error;
}

asio::awaitable<ErrorCode> ClientExchange::readBody(HttpResponse &response, bool streamed)
{
    auto &reader = *m_reader;
    const auto length = reader.contentLength();
    auto &body = response.body();
    // Grown step by step, a body of some hundred kilobytes would be held twice
    // over for a moment.
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

// Reads the body of an answer to another request. Whether more of them follow
// isn't known, so the connection isn't used again.
asio::awaitable<ErrorCode> ClientExchange::dropAnswer()
{
    m_cutShort = true;
    std::string dropped;
    ErrorCode error;
    while (!error && !m_reader->done()) {
        dropped.clear();
        error = co_await m_reader->readBody(dropped, ReadAheadBytes);
    }
    co_return error;
}

// The connection carries another request only if nothing is left of this one
// on either way.
void ClientExchange::finish()
{
    const bool clean = m_reader->keepAlive() && m_connection->channel.buffer.size() == 0 && !m_cutShort && !m_aborted;
    if (clean) {
        m_pool->giveBack(std::move(m_connection), m_keptByServer);
    }
    m_connection.reset();
}
}
