#pragma once

#include "adapters/http/cancellation.h"
#include "adapters/http/lostpeerdetector.h"
#include "adapters/http/tcpchannel.h"
#include "common/endpoint.h"
#include "common/error.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace Galenahill {

// The connections to one endpoint: the idle ones, and the number of all open ones.
struct EndpointConnections
{
    Endpoint endpoint;
    Tcp::endpoint address;
    bool valid = false;
    std::size_t open = 0;
    std::size_t limit = 0;
    // Result of the last attempt to connect.
    ErrorCode connectResult;
    std::vector<std::unique_ptr<class ClientConnection>> idle;
};

// One connection of a client; counted as open at its endpoint while it exists.
class ClientConnection
{
public:
    ClientConnection(Tcp::socket socket, ByteCounts &bytes, std::shared_ptr<EndpointConnections> owner);
    ~ClientConnection();

    TcpChannel channel;
    WatchedPeer peer;
    // Whether the connection is watched for a lost peer while it is in use.
    bool watchesPeer = false;
    std::shared_ptr<EndpointConnections> owner;
    TimePoint lastUsed;
    // Whether a response arrived of which a late copy could be taken for that to another request.
    bool ambiguous = false;
    // Time after which it must not be reused.
    TimePoint usableUntil;
};

// The connections of a client by endpoint. Each connection is used by one exchange at a time.
class ConnectionPool
{
public:
    struct Options
    {
        std::size_t maxIdlePerEndpoint = 32;
        // Maximum number of connections to one endpoint, idle and in use.
        std::size_t maxPerEndpoint = 512;
        Milliseconds maxIdleAge{20000};
        Milliseconds connectTimeout{60000};
        // Time after which a peer that owes an acknowledgement counts as lost; zero uses the system's
        // default. Where the system doesn't provide TCP_INFO, it is the connection's TCP_USER_TIMEOUT,
        // which also ends a connection whose peer doesn't read for that time.
        Milliseconds unackedTimeout{0};
        bool keepAliveProbes = false;
        // Reads the TCP_INFO of a socket; empty where the system doesn't provide it.
        std::function<std::optional<TcpSnapshot>(int)> readSnapshot = readTcpSnapshot;
    };

    ConnectionPool(asio::io_context &context, Options options);
    ~ConnectionPool();

    // The entry of the endpoint, created if needed; the address is parsed only once.
    std::shared_ptr<EndpointConnections> connectionsTo(const Endpoint &endpoint);

    // Takes a usable idle connection that was last used within that time, and is not ambiguous if that is to be avoided; null
    // if there is none.
    std::unique_ptr<ClientConnection> takeIdle(EndpointConnections &connections, Milliseconds maxIdle = std::chrono::hours(24), bool avoidAmbiguity = false);

    // Opens a connection; Unavailable if it isn't established by the deadline.
    asio::awaitable<Result<std::unique_ptr<ClientConnection>>> connect(
        std::shared_ptr<EndpointConnections> connections, TimePoint deadline, Cancellation *cancellation = nullptr);

    // Whether an idle connection to the endpoint is still open at both ends.
    static bool hasOpenIdle(const EndpointConnections &connections);

    // Returns a connection for reuse, limited by the server's keep-alive time. Closes it if there
    // are enough idle ones.
    void release(std::unique_ptr<ClientConnection> connection, Milliseconds serverKeepAlive = Milliseconds::max());

    void closeIdle(const Endpoint &endpoint);

    // Closes expired idle connections, and frees the buffers of those that have been idle for a
    // while. Cheap; to be called about once a second.
    void trimIdle();

    const ByteCounts &bytes() const;

private:
    void watchForLostPeer(ClientConnection &connection);

    struct EndpointHash
    {
        std::size_t operator()(const Endpoint &endpoint) const;
    };

    asio::io_context &m_context;
    Options m_options;
    DeadlineSweeper m_sweeper;
    LostPeerDetector m_lostPeers;
    ByteCounts m_bytes;
    std::unordered_map<Endpoint, std::shared_ptr<EndpointConnections>, EndpointHash> m_endpoints;
};

}
