#include "adapters/http/httpclient.h"

#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>
#include <map>
#include <vector>

namespace Galenahill {

namespace beast = boost::beast;

namespace {

struct ClientConnection
{
    explicit ClientConnection(asio::io_context &context)
        : stream(context)
    {
    }

    // Whether the server has closed the connection or sent something unasked;
    // either way it must not carry a request.
    bool unusable()
    {
        char byte = 0;
        ErrorCode error;
        auto &socket = stream.socket();
        socket.non_blocking(true, error);
        socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
        return error != asio::error::would_block && error != asio::error::try_again;
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    TimePoint lastUsed;
};

}

class HttpClient::Private
{
public:
    Private(asio::io_context &ioContext, Options given)
        : context(ioContext)
        , options(std::move(given))
    {
    }

    asio::io_context &context;
    Options options;
    std::map<Endpoint, std::vector<std::unique_ptr<ClientConnection>>> idle;
    std::atomic<std::uint64_t> bytes = 0;

    std::unique_ptr<ClientConnection> takeIdle(const Endpoint &endpoint);
    asio::awaitable<Result<std::unique_ptr<ClientConnection>>> connect(const Endpoint &endpoint, TimePoint deadline);
    void giveBack(const Endpoint &endpoint, std::unique_ptr<ClientConnection> connection);
};

HttpClient::HttpClient(asio::io_context &context, Options options)
    : d(std::make_unique<Private>(context, std::move(options)))
{
}

HttpClient::~HttpClient() = default;

std::unique_ptr<ClientConnection> HttpClient::Private::takeIdle(const Endpoint &endpoint)
{
    const auto found = idle.find(endpoint);
    if (found == idle.end()) {
        return nullptr;
    }
    auto &connections = found->second;
    const auto oldest = Clock::now() - options.maxIdleAge;
    while (!connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (connection->lastUsed >= oldest && !connection->unusable()) {
            return connection;
        }
    }
    idle.erase(found);
    return nullptr;
}

asio::awaitable<Result<std::unique_ptr<ClientConnection>>> HttpClient::Private::connect(const Endpoint &endpoint, TimePoint deadline)
{
    ErrorCode error;
    auto connection = std::make_unique<ClientConnection>(context);
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (!error) {
        connection->stream.expires_at(deadline);
        co_await connection->stream.async_connect(Tcp::endpoint(address, endpoint.port), asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) {
        co_return failure(ErrorKind::Unavailable, fmt::format("{}: can't connect: {}", toString(endpoint), error.message()));
    }
    connection->stream.socket().set_option(Tcp::no_delay(true), error);
    co_return connection;
}

void HttpClient::Private::giveBack(const Endpoint &endpoint, std::unique_ptr<ClientConnection> connection)
{
    connection->lastUsed = Clock::now();
    auto &connections = idle[endpoint];
    if (connections.size() < options.maxIdlePerEndpoint) {
        connections.push_back(std::move(connection));
    }
}

asio::awaitable<Result<HttpResponse>> HttpClient::exchange(Endpoint endpoint, HttpRequest request, TimePoint deadline)
{
    if (d->options.reachable && !d->options.reachable(endpoint)) {
        co_return failure(ErrorKind::Unavailable, toString(endpoint) + ": the link is cut for a test");
    }
    auto connection = d->takeIdle(endpoint);
    if (!connection) {
        auto connected = co_await d->connect(endpoint, deadline);
        if (!connected) {
            co_return tl::unexpected(connected.error());
        }
        connection = std::move(*connected);
    }
    ErrorCode error;
    connection->stream.expires_at(deadline);
    request.prepare_payload();
    const auto sent = co_await http::async_write(connection->stream, request, asio::redirect_error(asio::use_awaitable, error));
    d->bytes += sent;
    if (error) {
        // A failed write may still have carried the whole request.
        co_return failure(ErrorKind::OutcomeUnknown, fmt::format("{}: sending failed: {}", toString(endpoint), error.message()));
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(d->options.maxBodyBytes);
    if (request.method() == http::verb::head) {
        parser.skip(true);
    }
    const auto received = co_await http::async_read(connection->stream, connection->buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    d->bytes += received;
    if (error) {
        co_return failure(ErrorKind::OutcomeUnknown, fmt::format("{}: no whole answer: {}", toString(endpoint), error.message()));
    }
    connection->stream.expires_never();
    HttpResponse response = parser.release();
    if (response.keep_alive() && connection->buffer.size() == 0) {
        d->giveBack(endpoint, std::move(connection));
    }
    co_return response;
}

void HttpClient::closeIdle(const Endpoint &endpoint)
{
    d->idle.erase(endpoint);
}

std::uint64_t HttpClient::bytes() const
{
    return d->bytes;
}

}
