#include "faultproxy.h"

#include "adapters/http/asio.h"
#include "adapters/http/sleep.h"

#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <mutex>
#include <set>
#include <thread>

namespace Galenahill {

namespace {

// Interval at which a direction whose data is held back checks whether that still applies.
constexpr Milliseconds HoldCheckInterval{5};

// Interval at which a proxy that refuses connections checks whether its server listens again.
constexpr Milliseconds ListenCheckInterval{50};

constexpr std::size_t ChunkBytes = 16 * 1024;

Tcp::endpoint tcpEndpoint(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.address), endpoint.port};
}

// The client's and the server's socket of one proxied connection.
struct ProxiedConnection
{
    explicit ProxiedConnection(asio::io_context &context)
        : client(context)
        , server(context)
    {
    }

    void reset()
    {
        for (auto *socket : {&client, &server}) {
            ErrorCode ignored;
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

    Tcp::socket client;
    Tcp::socket server;
    bool silent = false;
};

}

class FaultProxy::Private
{
public:
    Private(const Endpoint &listen, const Endpoint &server, int bytes)
        : acceptor(context)
        , server(tcpEndpoint(server))
        , receiveBuffer(bytes)
    {
        this->listen(tcpEndpoint(listen));
    }

    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard = asio::make_work_guard(context);
    Tcp::acceptor acceptor;
    Tcp::endpoint server;
    Tcp::endpoint local;
    int receiveBuffer;
    bool refusesWithServer = false;
    bool serverRefuses = false;
    Mode mode = Mode::Pass;
    Milliseconds delay{0};
    std::set<std::shared_ptr<ProxiedConnection>> connections;
    std::thread thread;
    // Guards the ports of refused clients, which other threads ask for.
    std::mutex mutex;
    std::set<std::uint16_t> refusedClients;

    void listen(const Tcp::endpoint &endpoint)
    {
        local = endpoint;
        acceptor.open(local.protocol());
        acceptor.set_option(Tcp::acceptor::reuse_address(true));
        limitBuffer(acceptor);
        acceptor.bind(local);
        acceptor.listen();
    }

    bool isHeld(bool fromServer) const
    {
        return mode == Mode::HoldBoth || mode == (fromServer ? Mode::HoldResponses : Mode::HoldRequests);
    }

    // Must precede the connection for the window to be as small from the beginning.
    template <typename Socket>
    void limitBuffer(Socket &socket) const
    {
        if (receiveBuffer > 0) {
            socket.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
        }
    }

    void recordClient(const Tcp::socket &client, bool refused)
    {
        ErrorCode ignored;
        const auto port = client.remote_endpoint(ignored).port();
        const std::lock_guard lock(mutex);
        // An earlier client may have had the same port.
        refusedClients.erase(port);
        if (refused) {
            refusedClients.insert(port);
        }
    }

    asio::awaitable<void> accept();
    asio::awaitable<void> refuseUntilServerListens();
    asio::awaitable<void> relay(std::shared_ptr<ProxiedConnection> connection);
    asio::awaitable<void> forward(std::shared_ptr<ProxiedConnection> connection, bool fromServer);
};

FaultProxy::FaultProxy(const Endpoint &listen, const Endpoint &server, int receiveBuffer)
    : d(std::make_unique<Private>(listen, server, receiveBuffer))
{
    asio::co_spawn(d->context, d->accept(), asio::detached);
    d->thread = std::thread([this] { d->context.run(); });
}

FaultProxy::~FaultProxy()
{
    d->context.stop();
    d->thread.join();
}

void FaultProxy::setMode(Mode mode, Milliseconds delay)
{
    asio::post(d->context, [this, mode, delay] {
        d->mode = mode;
        d->delay = delay;
        for (const auto &connection : mode == Mode::Reset ? d->connections : std::set<std::shared_ptr<ProxiedConnection>>()) {
            connection->reset();
        }
        for (const auto &connection : mode == Mode::SilenceOpen ? d->connections : std::set<std::shared_ptr<ProxiedConnection>>()) {
            connection->silent = true;
        }
    });
}

void FaultProxy::refuseWithServer()
{
    asio::post(d->context, [this] { d->refusesWithServer = true; });
}

bool FaultProxy::takeRefusal(std::uint16_t clientPort)
{
    const std::lock_guard lock(d->mutex);
    return d->refusedClients.erase(clientPort) > 0;
}

asio::awaitable<void> FaultProxy::Private::accept()
{
    for (;;) {
        const auto connection = std::make_shared<ProxiedConnection>(context);
        ErrorCode error;
        co_await acceptor.async_accept(connection->client, asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            asio::co_spawn(context, relay(connection), asio::detached);
        }
        if (serverRefuses) {
            co_await refuseUntilServerListens();
        }
    }
}

asio::awaitable<void> FaultProxy::Private::refuseUntilServerListens()
{
    while (serverRefuses) {
        co_await sleepFor(context, ListenCheckInterval);
        Tcp::socket probe(context);
        ErrorCode error;
        co_await probe.async_connect(server, asio::redirect_error(asio::use_awaitable, error));
        serverRefuses = error == asio::error::connection_refused;
    }
    listen(Tcp::endpoint(local));
}

asio::awaitable<void> FaultProxy::Private::relay(std::shared_ptr<ProxiedConnection> connection)
{
    ErrorCode error;
    if (mode != Mode::Reset) {
        connection->server.open(server.protocol(), error);
        limitBuffer(connection->server);
        co_await connection->server.async_connect(server, asio::redirect_error(asio::use_awaitable, error));
    }
    recordClient(connection->client, error == asio::error::connection_refused);
    if (refusesWithServer && error == asio::error::connection_refused && !serverRefuses) {
        serverRefuses = true;
        ErrorCode ignored;
        acceptor.close(ignored);
    }
    if (error || mode == Mode::Reset) {
        connection->reset();
        co_return;
    }
    connections.insert(connection);
    asio::co_spawn(context, forward(connection, false), asio::detached);
    co_await forward(connection, true);
    connections.erase(connection);
}

asio::awaitable<void> FaultProxy::Private::forward(std::shared_ptr<ProxiedConnection> connection, bool fromServer)
{
    auto &from = fromServer ? connection->server : connection->client;
    auto &to = fromServer ? connection->client : connection->server;
    std::array<char, ChunkBytes> chunk;
    ErrorCode error;
    while (!error) {
        const auto count = co_await from.async_read_some(asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
        while ((isHeld(fromServer) || connection->silent) && from.is_open()) {
            co_await sleepFor(context, HoldCheckInterval);
        }
        if (mode == Mode::Delay) {
            co_await sleepFor(context, delay);
        }
        if (count > 0) {
            co_await asio::async_write(to, asio::buffer(chunk.data(), count), asio::redirect_error(asio::use_awaitable, error));
        }
    }
    ErrorCode ignored;
    to.shutdown(Tcp::socket::shutdown_send, ignored);
}

}
