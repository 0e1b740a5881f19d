#include "pipeliningcallers.h"

#include "adapters/http/asio.h"
#include "adapters/http/sleep.h"
#include "core/calls/callheaders.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <fmt/format.h>
#include <random>

namespace Galenahill {

namespace {

namespace http = boost::beast::http;

constexpr Milliseconds ReconnectDelay{50};
constexpr Milliseconds CheckInterval{5};
constexpr std::size_t PartBytes = 16 * 1024;
constexpr std::uint64_t MaxBodyBytes = 4 * 1024 * 1024;

using ResponseParser = http::response_parser<http::string_body>;

// One connection of a caller. Requests are sent by one coroutine, and responses read by another.
class PipelinedConnection : public std::enable_shared_from_this<PipelinedConnection>
{
public:
    PipelinedConnection(asio::io_context &context, const PipeliningCallers::Options &options, std::size_t ingress, std::uint64_t seed)
        : m_context(context)
        , m_options(options)
        , m_ingress(ingress)
        , m_random(seed)
        , m_name(fmt::format("{}-{}", options.idPrefix, seed))
        , m_socket(context)
    {
    }

    asio::awaitable<void> run(TimePoint until);

    std::vector<CallRecord> takeRecords()
    {
        return {std::make_move_iterator(m_records.begin()), std::make_move_iterator(m_records.end())};
    }

private:
    asio::awaitable<bool> connect();
    asio::awaitable<void> send(TimePoint until);
    asio::awaitable<bool> readResponse();
    asio::awaitable<ErrorCode> receive();
    std::string nextRequest();
    void record(CallRecord &call, const http::response<http::string_body> &response) const;
    // Records what has arrived of an incomplete response.
    void recordPart(CallRecord &call, const ResponseParser &parser) const;
    void endOutstanding(CallEnd first, CallEnd others);

    asio::io_context &m_context;
    const PipeliningCallers::Options &m_options;
    std::size_t m_ingress;
    std::mt19937_64 m_random;
    std::string m_name;
    Tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::deque<CallRecord> m_records;
    // Records of the requests that are sent and not answered, the oldest first.
    std::deque<CallRecord *> m_outstanding;
    std::size_t m_sent = 0;
    bool m_open = false;
    bool m_sending = false;
    // Whether anything has arrived on the connection.
    bool m_received = false;
    std::uint16_t m_localPort = 0;
};

asio::awaitable<bool> PipelinedConnection::connect()
{
    const auto &endpoint = m_options.ingresses[m_ingress];
    ErrorCode error;
    m_socket = Tcp::socket(m_context);
    m_socket.open(Tcp::v4(), error);
    if (m_options.receiveBuffer > 0) {
        m_socket.set_option(asio::socket_base::receive_buffer_size(m_options.receiveBuffer), error);
    }
    const Tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
    co_await m_socket.async_connect(address, asio::redirect_error(asio::use_awaitable, error));
    m_buffer.clear();
    m_received = false;
    ErrorCode ignored;
    m_localPort = m_socket.local_endpoint(ignored).port();
    m_open = !error;
    co_return m_open;
}

std::string PipelinedConnection::nextRequest()
{
    const auto &kind = m_options.kinds[m_random() % m_options.kinds.size()];
    auto &call = m_records.emplace_back();
    call.id = fmt::format("{}-{}", m_name, m_sent++);
    call.path = kind.path;
    call.key = kind.key;
    call.ingress = m_ingress;
    call.idempotent = kind.idempotent;
    call.timeout = m_options.timeout;
    call.responseBytes = kind.responseBytes;
    call.sentAt = Clock::now();
    m_outstanding.push_back(&call);
    auto text = fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n{}: {}\r\n",
        kind.path,
        m_options.host,
        m_options.headerNames.requestId,
        call.id,
        m_options.headerNames.timeoutMs,
        m_options.timeout.count());
    if (!kind.key.empty()) {
        text += fmt::format("Authorization: Bearer {}\r\n", kind.key);
    }
    return text + "\r\n";
}

asio::awaitable<void> PipelinedConnection::send(TimePoint until)
{
    const auto self = shared_from_this();
    ErrorCode error;
    while (m_open && !error && Clock::now() < until) {
        if (m_outstanding.size() >= m_options.ahead) {
            co_await sleepFor(m_context, CheckInterval);
            continue;
        }
        const auto request = nextRequest();
        co_await asio::async_write(m_socket, asio::buffer(request), asio::redirect_error(asio::use_awaitable, error));
        const Milliseconds pause(m_random() % static_cast<std::uint64_t>(m_options.maxPause.count() + 1));
        co_await sleepFor(m_context, pause);
    }
    m_sending = false;
}

asio::awaitable<ErrorCode> PipelinedConnection::receive()
{
    const auto limit = m_options.receiveBuffer > 0 ? static_cast<std::size_t>(m_options.receiveBuffer) : PartBytes;
    ErrorCode error;
    const auto count = co_await m_socket.async_read_some(m_buffer.prepare(limit), asio::redirect_error(asio::use_awaitable, error));
    m_buffer.commit(count);
    m_received = m_received || count > 0;
    if (m_options.readPause.count() > 0) {
        co_await sleepFor(m_context, m_options.readPause);
    }
    co_return error;
}

void PipelinedConnection::record(CallRecord &call, const http::response<http::string_body> &response) const
{
    call.endedAt = Clock::now();
    call.end = CallEnd::Response;
    call.status = static_cast<int>(response.result_int());
    call.target = std::string(response[m_options.headerNames.originMarker]);
    call.receivedBytes = response.body().size();
    const bool isOwn = response[m_options.headerNames.requestId] == call.id && response.body().starts_with("done " + call.id);
    if (response[CallHeaders::Outcome] == CallHeaders::NotRun) {
        call.outcome = CallOutcome::NotRun;
    } else if (response.result() != http::status::ok) {
        call.outcome = CallOutcome::Unknown;
    } else {
        call.outcome = isOwn && response.body().size() >= call.responseBytes ? CallOutcome::Answered : CallOutcome::Mismatched;
    }
}

void PipelinedConnection::recordPart(CallRecord &call, const ResponseParser &parser) const
{
    if (parser.is_header_done()) {
        call.status = static_cast<int>(parser.get().result_int());
        call.target = std::string(parser.get()[m_options.headerNames.originMarker]);
        call.receivedBytes = parser.get().body().size();
    }
}

void PipelinedConnection::endOutstanding(CallEnd first, CallEnd others)
{
    auto end = first;
    for (auto *call : m_outstanding) {
        call->endedAt = Clock::now();
        call->end = end;
        call->outcome = end == CallEnd::NotSent ? CallOutcome::NotRun : CallOutcome::Unknown;
        end = others;
    }
    m_outstanding.clear();
}

// Reads the response to the oldest request. Returns whether the connection goes on.
asio::awaitable<bool> PipelinedConnection::readResponse()
{
    ResponseParser parser;
    parser.body_limit(MaxBodyBytes);
    parser.eager(true);
    bool started = false;
    bool begun = false;
    while (!parser.is_done()) {
        ErrorCode error;
        if (m_buffer.size() > 0) {
            m_buffer.consume(parser.put(m_buffer.data(), error));
            started = true;
        }
        if (error && error != http::error::need_more) {
            recordPart(*m_outstanding.front(), parser);
            endOutstanding(CallEnd::ClosedInResponse, CallEnd::ClosedBeforeResponse);
            co_return false;
        }
        if (parser.is_done()) {
            break;
        }
        if (!begun && m_options.responseBegan && parser.is_header_done() && !parser.get().body().empty()) {
            begun = true;
            recordPart(*m_outstanding.front(), parser);
            m_options.responseBegan(*m_outstanding.front());
        }
        // The timer's cancellation is lost if it falls into the pause after a read, and reaches the wrong call if that of
        // an earlier one is carried out late.
        const auto deadline = m_outstanding.front()->sentAt + m_options.timeout;
        ErrorCode failed;
        if (Clock::now() < deadline) {
            failed = co_await receive();
        }
        const bool timedOut = Clock::now() >= deadline;
        if (failed == asio::error::operation_aborted && !timedOut) {
            continue;
        }
        if (failed && !m_received && m_options.wasRefused && m_options.wasRefused(m_ingress, m_localPort)) {
            endOutstanding(CallEnd::NotSent, CallEnd::NotSent);
            co_return false;
        }
        if (failed || timedOut) {
            const auto first = timedOut ? CallEnd::TimedOut : started ? CallEnd::ClosedInResponse : CallEnd::ClosedBeforeResponse;
            recordPart(*m_outstanding.front(), parser);
            endOutstanding(first, timedOut ? CallEnd::TimedOut : CallEnd::ClosedBeforeResponse);
            co_return false;
        }
    }
    record(*m_outstanding.front(), parser.get());
    m_outstanding.pop_front();
    if (!parser.keep_alive()) {
        endOutstanding(CallEnd::NotSent, CallEnd::NotSent);
        co_return false;
    }
    co_return true;
}

asio::awaitable<void> PipelinedConnection::run(TimePoint until)
{
    const auto self = shared_from_this();
    while (Clock::now() < until) {
        if (!co_await connect()) {
            co_await sleepFor(m_context, ReconnectDelay);
            continue;
        }
        m_sending = true;
        asio::co_spawn(m_context, send(until), asio::detached);
        bool goesOn = true;
        while (goesOn && (m_sending || !m_outstanding.empty())) {
            if (m_outstanding.empty()) {
                co_await sleepFor(m_context, CheckInterval);
                continue;
            }
            asio::steady_timer deadline(m_context, m_outstanding.front()->sentAt + m_options.timeout);
            deadline.async_wait([self](const ErrorCode &error) {
                if (!error) {
                    ErrorCode ignored;
                    self->m_socket.cancel(ignored);
                }
            });
            goesOn = co_await readResponse();
        }
        m_open = false;
        ErrorCode ignored;
        m_socket.close(ignored);
        while (m_sending) {
            co_await sleepFor(m_context, CheckInterval);
        }
        // The sender may have added a request to the closed connection.
        endOutstanding(CallEnd::NotSent, CallEnd::NotSent);
    }
}

}

PipeliningCallers::PipeliningCallers(Options options)
    : m_options(std::move(options))
{
}

std::vector<CallRecord> PipeliningCallers::run()
{
    asio::io_context context(1);
    std::vector<std::shared_ptr<PipelinedConnection>> connections;
    const auto until = Clock::now() + m_options.length;
    for (std::size_t i = 0; i < m_options.ingresses.size() * m_options.connectionsPerIngress; ++i) {
        connections.push_back(std::make_shared<PipelinedConnection>(context, m_options, i % m_options.ingresses.size(), m_options.seed * 1000 + i));
        asio::co_spawn(context, connections.back()->run(until), asio::detached);
    }
    context.run();
    std::vector<CallRecord> records;
    for (const auto &connection : connections) {
        auto taken = connection->takeRecords();
        records.insert(records.end(), std::make_move_iterator(taken.begin()), std::make_move_iterator(taken.end()));
    }
    return records;
}

}
