#include "adapters/http/httpserver.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>
#include <set>

namespace Galenahill {

namespace beast = boost::beast;

namespace {

class Connection : public ServerConnection
{
public:
    explicit Connection(Tcp::socket socket)
        : stream(std::move(socket))
    {
    }

    bool peerClosed() override
    {
        char byte = 0;
        ErrorCode error;
        auto &socket = stream.socket();
        socket.non_blocking(true, error);
        socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
        return error && error != asio::error::would_block && error != asio::error::try_again;
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool busy = false;
};

http::status statusFor(const ErrorCode &error)
{
    if (error == http::error::header_limit) {
        return http::status::request_header_fields_too_large;
    }
    if (error == http::error::body_limit) {
        return http::status::payload_too_large;
    }
    if (error == beast::error::timeout) {
        return http::status::request_timeout;
    }
    return http::status::bad_request;
}

// Whether the peer went away rather than sent something wrong.
bool peerGone(const ErrorCode &error)
{
    return error == http::error::end_of_stream || error == http::error::partial_message || error.category() == asio::error::get_system_category()
        || error == asio::error::eof || error == asio::error::operation_aborted;
}

}

class HttpServer::Private : public std::enable_shared_from_this<HttpServer::Private>
{
public:
    Private(asio::io_context &ioContext, Options given)
        : context(ioContext)
        , acceptor(ioContext)
        , options(std::move(given))
    {
    }

    asio::io_context &context;
    Tcp::acceptor acceptor;
    Options options;
    std::set<std::shared_ptr<Connection>> connections;
    std::size_t inFlight = 0;
    std::atomic<std::uint64_t> bytes = 0;
    bool draining = false;

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    asio::awaitable<bool> readRequest(Connection &connection, HttpRequest &request);
    asio::awaitable<bool> writeResponse(Connection &connection, HttpResponse response);
};

HttpServer::HttpServer(asio::io_context &context, Options options)
    : d(std::make_shared<Private>(context, std::move(options)))
{
}

HttpServer::~HttpServer()
{
    ErrorCode ignored;
    d->acceptor.close(ignored);
}

Result<void> HttpServer::listen()
{
    ErrorCode error;
    const auto address = asio::ip::make_address(d->options.endpoint.address, error);
    if (!error) {
        const Tcp::endpoint endpoint(address, d->options.endpoint.port);
        d->acceptor.open(endpoint.protocol(), error);
        d->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
        d->acceptor.bind(endpoint, error);
        if (!error) {
            d->acceptor.listen(asio::socket_base::max_listen_connections, error);
        }
    }
    if (error) {
        return failure(ErrorKind::Invalid, fmt::format("{}: can't listen: {}; give a free address of this VM", toString(d->options.endpoint), error.message()));
    }
    asio::co_spawn(d->context, d->accept(), asio::detached);
    return {};
}

asio::awaitable<void> HttpServer::Private::accept()
{
    const auto keep = shared_from_this();
    while (acceptor.is_open()) {
        ErrorCode error;
        Tcp::socket socket(context);
        co_await acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || !acceptor.is_open()) {
            co_return;
        }
        if (error || connections.size() >= options.maxConnections) {
            // Out of descriptors or over the limit: pause rather than spin.
            asio::steady_timer timer(context, Milliseconds(10));
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        socket.set_option(Tcp::no_delay(true), error);
        auto connection = std::make_shared<Connection>(std::move(socket));
        connections.insert(connection);
        asio::co_spawn(context, serve(connection), asio::detached);
    }
}

asio::awaitable<bool> HttpServer::Private::readRequest(Connection &connection, HttpRequest &request)
{
    ErrorCode error;
    if (connection.buffer.size() == 0) {
        connection.stream.expires_after(options.idleTimeout);
        const auto space = connection.buffer.prepare(4096);
        const auto count = co_await connection.stream.async_read_some(space, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return false;
        }
        connection.buffer.commit(count);
        bytes += count;
    }
    connection.busy = true;
    http::request_parser<http::string_body> parser;
    parser.header_limit(options.maxHeaderBytes);
    parser.body_limit(options.maxBodyBytes);
    connection.stream.expires_after(options.readTimeout);
    const auto count = co_await http::async_read(connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    bytes += count;
    if (!error) {
        request = parser.release();
        co_return true;
    }
    if (!peerGone(error)) {
        auto response = makeErrorResponse(statusFor(error), "invalid", "the request can't be read: " + error.message());
        response.keep_alive(false);
        co_await writeResponse(connection, std::move(response));
    }
    co_return false;
}

asio::awaitable<bool> HttpServer::Private::writeResponse(Connection &connection, HttpResponse response)
{
    ErrorCode error;
    connection.stream.expires_after(options.readTimeout);
    const auto count = co_await http::async_write(connection.stream, response, asio::redirect_error(asio::use_awaitable, error));
    bytes += count;
    co_return !error && response.keep_alive();
}

asio::awaitable<void> HttpServer::Private::serve(std::shared_ptr<Connection> connection)
{
    const auto keep = shared_from_this();
    bool open = true;
    while (open) {
        HttpRequest request;
        connection->busy = false;
        if (!co_await readRequest(*connection, request)) {
            break;
        }
        const bool keepAlive = request.keep_alive();
        const bool head = request.method() == http::verb::head;
        connection->stream.expires_never();
        ++inFlight;
        auto response = co_await options.handler(std::move(request), *connection);
        response.keep_alive(keepAlive && !draining);
        if (head) {
            response.body().clear();
        }
        open = co_await writeResponse(*connection, std::move(response));
        --inFlight;
    }
    ErrorCode ignored;
    connection->stream.socket().shutdown(Tcp::socket::shutdown_both, ignored);
    connections.erase(connection);
}

void HttpServer::drain()
{
    d->draining = true;
    ErrorCode ignored;
    d->acceptor.close(ignored);
}

void HttpServer::closeIdle()
{
    for (const auto &connection : d->connections) {
        if (!connection->busy) {
            ErrorCode ignored;
            connection->stream.socket().shutdown(Tcp::socket::shutdown_both, ignored);
        }
    }
}

std::size_t HttpServer::requestsInFlight() const
{
    return d->inFlight;
}

std::uint64_t HttpServer::bytes() const
{
    return d->bytes;
}

}
