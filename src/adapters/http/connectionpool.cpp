#include "adapters/http/connectionpool.h"

#include <algorithm>
#include <fmt/format.h>

namespace Galenahill {

namespace {

// How late a call's deadline may expire.
constexpr Milliseconds SweepStep{5};

// Fraction of the server's keep-alive time during which an idle connection is reused. A request
// sent while the server closes the connection is lost, and fails if it can't be retried. The rest
// of the time is longer than any round trip.
constexpr double KeepAliveFraction = 0.8;

// An idle connection keeps its buffer for this time, since it may be reused soon.
constexpr Milliseconds BufferIdleTime{500};

// A single probe may be lost on the way to a reachable host.
constexpr int MaxUnansweredProbes = 2;

// Beyond this number, endpoints without a connection are removed, so that the table doesn't grow
// without bound in a fleet whose addresses change.
constexpr std::size_t MaxEndpoints = 4096;

}

ClientConnection::ClientConnection(Tcp::socket socket, ByteCounts &bytes, std::shared_ptr<EndpointConnections> connections)
    : channel(std::move(socket), bytes)
    , owner(std::move(connections))
{
    ++owner->open;
    channel.deadline.expire = [this] { channel.close(); };
}

ClientConnection::~ClientConnection()
{
    --owner->open;
}

std::size_t ConnectionPool::EndpointHash::operator()(const Endpoint &endpoint) const
{
    return std::hash<std::string>{}(endpoint.address) ^ endpoint.port;
}

ConnectionPool::ConnectionPool(asio::io_context &context, Options options)
    : m_context(context)
    , m_options(std::move(options))
    , m_sweeper(context, SweepStep)
    , m_lostPeers(context, m_options.unackedTimeout)
{
}

// Breaks the reference cycle between the entries and their idle connections.
ConnectionPool::~ConnectionPool()
{
    for (const auto &[endpoint, connections] : m_endpoints) {
        connections->idle.clear();
    }
}

std::shared_ptr<EndpointConnections> ConnectionPool::connectionsTo(const Endpoint &endpoint)
{
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end()) {
        return found->second;
    }
    if (m_endpoints.size() >= MaxEndpoints) {
        std::erase_if(m_endpoints, [](const auto &entry) { return entry.second->open == 0; });
    }
    auto connections = std::make_shared<EndpointConnections>();
    ErrorCode error;
    connections->endpoint = endpoint;
    connections->address = Tcp::endpoint(asio::ip::make_address(endpoint.address, error), endpoint.port);
    connections->valid = !error;
    connections->limit = m_options.maxPerEndpoint;
    m_endpoints.emplace(endpoint, connections);
    return connections;
}

std::unique_ptr<ClientConnection> ConnectionPool::takeIdle(EndpointConnections &connections, Milliseconds maxIdle, bool avoidAmbiguity)
{
    const auto now = Clock::now();
    // The most recently used connection is at the back.
    auto &idle = connections.idle;
    for (auto next = idle.size(); next > 0 && now - idle[next - 1]->lastUsed <= maxIdle; --next) {
        if (avoidAmbiguity && idle[next - 1]->ambiguous) {
            continue;
        }
        auto connection = std::move(idle[next - 1]);
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(next - 1));
        // A connection that the server has closed, or on which unsolicited bytes arrived, must not be
        // reused: in the first case the request's outcome would be unknown without need, in the
        // second it would receive the response to another request.
        if (connection->usableUntil > now && !connection->channel.readable()) {
            m_sweeper.watch(connection->channel.deadline);
            if (connection->watchesPeer) {
                m_lostPeers.watch(connection->peer);
            }
            return connection;
        }
    }
    return nullptr;
}

asio::awaitable<Result<std::unique_ptr<ClientConnection>>> ConnectionPool::connect(
    std::shared_ptr<EndpointConnections> connections, TimePoint deadline, Cancellation *cancellation)
{
    const auto address = toString(connections->endpoint);
    if (!connections->valid) {
        co_return failure(ErrorKind::Unavailable, address + ": not an IP address with a port; fix the address");
    }
    if (connections->open >= connections->limit) {
        co_return failure(
            ErrorKind::Unavailable, fmt::format("{}: all {} connections to this endpoint are in use; try again later", address, connections->open));
    }
    auto connection = std::make_unique<ClientConnection>(Tcp::socket(m_context), m_bytes, connections);
    auto &channel = connection->channel;
    channel.deadline.set(std::min<TimePoint>(deadline, Clock::now() + m_options.connectTimeout));
    m_sweeper.watch(channel.deadline);
    if (cancellation != nullptr) {
        cancellation->setHook([&channel] { channel.abort(); });
    }
    ErrorCode error;
    co_await channel.socket.async_connect(connections->address, asio::redirect_error(asio::use_awaitable, error));
    if (cancellation != nullptr) {
        cancellation->setHook(nullptr);
    }
    connections->connectResult = error;
    if (error) {
        const auto reason = channel.deadline.passed() ? "timed out" : error.message();
        co_return failure(ErrorKind::Unavailable, fmt::format("{}: can't connect: {}", address, reason));
    }
    channel.prepare();
    const bool limitsSilence = m_options.unackedTimeout.count() > 0;
    if (limitsSilence) {
        watchForLostPeer(*connection);
    }
    if (m_options.keepAliveProbes) {
        channel.enableKeepAliveProbes(MaxUnansweredProbes);
    }
    co_return connection;
}

void ConnectionPool::watchForLostPeer(ClientConnection &connection)
{
    auto &channel = connection.channel;
    connection.peer.snapshot = [this, &channel] { return m_options.readSnapshot(channel.socket.native_handle()); };
    connection.peer.lost = [&channel] { channel.closePeerLost(); };
    connection.watchesPeer = connection.peer.snapshot().has_value();
    if (connection.watchesPeer) {
        m_lostPeers.watch(connection.peer);
    } else {
        channel.setUnackedTimeout(m_options.unackedTimeout);
    }
}

bool ConnectionPool::hasOpenIdle(const EndpointConnections &connections)
{
    return std::any_of(connections.idle.begin(), connections.idle.end(), [](const auto &connection) { return !connection->channel.readable(); });
}

void ConnectionPool::release(std::unique_ptr<ClientConnection> connection, Milliseconds serverKeepAlive)
{
    auto &idle = connection->owner->idle;
    if (idle.size() >= m_options.maxIdlePerEndpoint) {
        return;
    }
    const auto keepAlive = std::chrono::duration<double, std::milli>(serverKeepAlive) * KeepAliveFraction;
    connection->lastUsed = Clock::now();
    connection->usableUntil = connection->lastUsed + std::min(m_options.maxIdleAge, std::chrono::duration_cast<Milliseconds>(keepAlive));
    connection->channel.deadline.release();
    connection->peer.unlink();
    idle.push_back(std::move(connection));
}

void ConnectionPool::closeIdle(const Endpoint &endpoint)
{
    if (const auto found = m_endpoints.find(endpoint); found != m_endpoints.end()) {
        found->second->idle.clear();
    }
}

void ConnectionPool::trimIdle()
{
    const auto now = Clock::now();
    for (auto &[endpoint, connections] : m_endpoints) {
        std::erase_if(connections->idle, [now](const auto &connection) { return connection->usableUntil <= now; });
        for (const auto &connection : connections->idle) {
            if (now - connection->lastUsed >= BufferIdleTime) {
                connection->channel.releaseBuffer();
            }
        }
    }
}

const ByteCounts &ConnectionPool::bytes() const
{
    return m_bytes;
}

}
