#include "adapters/http/connectionpool.h"

#include <fmt/format.h>

namespace Galenahill {

namespace {

// How late a call's time limit may strike.
constexpr Milliseconds SweepStep{5};

// Share of the time for which a server keeps an idle connection that is made
// use of: a request that crosses its closing is lost, and one that can't be
// repeated fails. The rest is longer than any round trip.
constexpr double KeptShare = 0.8;

// An idle connection keeps its buffer for so long, in case it is used again at once.
constexpr Milliseconds BufferIdleTime{500};

// Endpoints without a connection are forgotten beyond so many, so that a
// fleet whose addresses change doesn't grow this table for good.
constexpr std::size_t MaxEndpoints = 4096;

}

ClientConnection::ClientConnection(Tcp::socket socket, std::atomic<std::uint64_t> &bytes, std::shared_ptr<EndpointConnections> connections)
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
    , m_options(options)
    , m_sweeper(context, SweepStep)
{
}

// The idle connections and what is known of their endpoint hold each other.
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

std::unique_ptr<ClientConnection> ConnectionPool::takeIdle(EndpointConnections &connections, Milliseconds maxIdle)
{
    const auto now = Clock::now();
    // The one used last is at the back; older ones wait for other requests.
    while (!connections.idle.empty() && now - connections.idle.back()->lastUsed <= maxIdle) {
        auto connection = std::move(connections.idle.back());
        connections.idle.pop_back();
        // A connection that the server has closed, or on which something came
        // unasked, must not carry a request: the first would make its outcome
        // unknown for nothing, the second would give it another's answer.
        if (connection->usableUntil > now && !connection->channel.readable()) {
            m_sweeper.watch(connection->channel.deadline);
            return connection;
        }
    }
    return nullptr;
}

asio::awaitable<Result<std::unique_ptr<ClientConnection>>> ConnectionPool::connect(std::shared_ptr<EndpointConnections> connections, TimePoint deadline)
{
    const auto where = toString(connections->endpoint);
    if (!connections->valid) {
        co_return failure(ErrorKind::Unavailable, where + ": is no IP number with a port; mend the address");
    }
    if (connections->open >= connections->limit) {
        co_return failure(ErrorKind::Unavailable, fmt::format("{}: all {} connections to it are in use; try again later", where, connections->open));
    }
    auto connection = std::make_unique<ClientConnection>(Tcp::socket(m_context), m_bytes, connections);
    auto &channel = connection->channel;
    channel.deadline.set(std::min<TimePoint>(deadline, Clock::now() + m_options.connectTimeout));
    m_sweeper.watch(channel.deadline);
    ErrorCode error;
    co_await channel.socket.async_connect(connections->address, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        const auto reason = channel.deadline.passed() ? "the time is up" : error.message();
        co_return failure(ErrorKind::Unavailable, fmt::format("{}: can't connect: {}", where, reason));
    }
    channel.prepare();
    if (m_options.unackedTimeout.count() > 0) {
        channel.limitUnacked(m_options.unackedTimeout);
    }
    if (m_options.keepAliveProbes) {
        channel.probeWhenQuiet();
    }
    co_return connection;
}

void ConnectionPool::giveBack(std::unique_ptr<ClientConnection> connection, Milliseconds keptByServer)
{
    auto &idle = connection->owner->idle;
    if (idle.size() >= m_options.maxIdlePerEndpoint) {
        return;
    }
    const auto kept = std::chrono::duration<double, std::milli>(keptByServer) * KeptShare;
    connection->lastUsed = Clock::now();
    connection->usableUntil = connection->lastUsed + std::min(m_options.maxIdleAge, std::chrono::duration_cast<Milliseconds>(kept));
    connection->channel.deadline.release();
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

std::uint64_t ConnectionPool::bytes() const
{
    return m_bytes;
}

}
