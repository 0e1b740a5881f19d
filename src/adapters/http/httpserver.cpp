#include "adapters/http/httpserver.h"

#include "adapters/http/httpserverconnection.h"

#include <fmt/format.h>
#include <unordered_set>

namespace Galenahill {

namespace {

// How late a connection's deadline may expire.
constexpr Milliseconds SweepStep{20};

// Pause after a failed accept, such as when the process is out of file descriptors.
constexpr Milliseconds AcceptRetryDelay{10};

}

class HttpServer::Private : public std::enable_shared_from_this<HttpServer::Private>
{
public:
    Private(asio::io_context &ioContext, Options given)
        : context(ioContext)
        , acceptor(ioContext)
        , sweeper(ioContext, SweepStep)
        , state(std::make_shared<HttpServerState>())
    {
        state->options = std::move(given);
    }

    asio::io_context &context;
    Tcp::acceptor acceptor;
    DeadlineSweeper sweeper;
    std::shared_ptr<HttpServerState> state;
    std::unordered_set<std::shared_ptr<HttpServerConnection>> connections;

    asio::awaitable<void> accept();
    void admit(Tcp::socket socket);
    void acceptArrived();
    asio::awaitable<void> serve(std::shared_ptr<HttpServerConnection> connection);
    bool evictWaitingConnection();
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
    const auto &endpoint = d->state->options.endpoint;
    ErrorCode error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (!error) {
        const Tcp::endpoint local(address, endpoint.port);
        d->acceptor.open(local.protocol(), error);
        d->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
        d->acceptor.bind(local, error);
        if (!error) {
            d->acceptor.listen(asio::socket_base::max_listen_connections, error);
        }
    }
    if (error) {
        return failure(ErrorKind::Invalid, fmt::format("{}: can't listen: {}; use a free address of this VM", toString(endpoint), error.message()));
    }
    asio::co_spawn(d->context, d->accept(), asio::detached);
    return {};
}

asio::awaitable<void> HttpServer::Private::accept()
{
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        ErrorCode error;
        Tcp::socket socket(context);
        co_await acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        // A connection that was accepted before drain() closed the acceptor may carry a request.
        if (!error && (acceptor.is_open() || state->stopped)) {
            admit(std::move(socket));
            continue;
        }
        if (error == asio::error::operation_aborted || !acceptor.is_open()) {
            co_return;
        }
        // Out of file descriptors: free one, and pause instead of spinning.
        evictWaitingConnection();
        asio::steady_timer timer(context, AcceptRetryDelay);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

void HttpServer::Private::admit(Tcp::socket socket)
{
    if (connections.size() >= state->options.maxConnections && !evictWaitingConnection()) {
        return;
    }
    auto connection = std::make_shared<HttpServerConnection>(std::move(socket), state);
    connections.insert(connection);
    sweeper.watch(connection->deadline());
    if (state->stopped) {
        connection->limitToArrivedRequests();
    }
    asio::co_spawn(context, serve(std::move(connection)), asio::detached);
}

// The kernel resets the connections that wait in the backlog when the acceptor is closed, although their
// peers may have sent requests.
void HttpServer::Private::acceptArrived()
{
    ErrorCode error;
    acceptor.non_blocking(true, error);
    for (;;) {
        Tcp::socket socket(context);
        acceptor.accept(socket, error);
        if (!error) {
            admit(std::move(socket));
        } else if (error == asio::error::would_block || !evictWaitingConnection()) {
            return;
        }
    }
}

// Closes the connection that has waited longest without a request being handled. Otherwise peers
// that connect and send nothing, or send slowly, would lock out all others until their time limits
// pass. A connection whose request is being handled is never closed for a new one, and one whose peer has
// not received everything only if there is no other.
bool HttpServer::Private::evictWaitingConnection()
{
    const auto oldestOf = [this](const std::function<bool(HttpServerConnection &)> &mayClose) {
        HttpServerConnection *oldest = nullptr;
        for (const auto &connection : connections) {
            if (!connection->handling() && (oldest == nullptr || connection->waitingSince() < oldest->waitingSince()) && mayClose(*connection)) {
                oldest = connection.get();
            }
        }
        return oldest;
    };
    const auto isDelivered
        = [](HttpServerConnection &connection) { return connection.channel().unacknowledgedBytes() == 0 && connection.channel().unreadBytes() == 0; };
    auto *oldest = oldestOf([](HttpServerConnection &) { return true; });
    if (oldest != nullptr && !isDelivered(*oldest)) {
        auto *delivered = oldestOf(isDelivered);
        oldest = delivered != nullptr ? delivered : oldest;
    }
    if (oldest != nullptr) {
        oldest->close();
        std::erase_if(connections, [oldest](const auto &connection) { return connection.get() == oldest; });
    }
    return oldest != nullptr;
}

asio::awaitable<void> HttpServer::Private::serve(std::shared_ptr<HttpServerConnection> connection)
{
    const auto self = shared_from_this();
    co_await connection->serve();
    connections.erase(connection);
}

void HttpServer::setLimits(const CallerLimits &limits)
{
    d->state->options.limits = limits;
}

void HttpServer::closeAfterResponses()
{
    d->state->draining = true;
}

void HttpServer::drain()
{
    d->state->draining = true;
    d->state->stopped = true;
    d->acceptArrived();
    ErrorCode ignored;
    d->acceptor.close(ignored);
    for (const auto &connection : d->connections) {
        connection->limitToArrivedRequests();
    }
}

std::size_t HttpServer::closeIdle()
{
    for (const auto &connection : d->connections) {
        connection->endIfIdle();
    }
    return d->connections.size();
}

void HttpServer::expireArriving()
{
    for (const auto &connection : d->connections) {
        connection->expireArriving();
    }
}

std::size_t HttpServer::requestsInFlight() const
{
    return d->state->inFlight;
}

std::size_t HttpServer::unansweredRequests() const
{
    return d->state->unanswered;
}

std::size_t HttpServer::connections() const
{
    return d->connections.size();
}

std::vector<ConnectionEnd> HttpServer::openConnections() const
{
    std::vector<ConnectionEnd> ends;
    ends.reserve(d->connections.size());
    for (const auto &connection : d->connections) {
        ends.push_back(connection->end());
        ends.back().leftOpen = true;
    }
    return ends;
}

std::uint64_t HttpServer::bytes() const
{
    return d->state->bytes.all;
}

std::uint64_t HttpServer::bytesSentOnLink() const
{
    return d->state->bytes.sentOnLink;
}

}
