#pragma once

#include "adapters/http/tcpchannel.h"
#include "common/endpoint.h"
#include "common/error.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace Galenahill {

// Connections to one endpoint: the idle ones, and the number of all.
struct EndpointConnections
{
    Endpoint endpoint;
    Tcp::endpoint address;
    bool valid = false;
    std::size_t open = 0;
    std::size_t limit = 0;
    std::vector<std::unique_ptr<class ClientConnection>> idle;
};

// One connection of a client; counted at its endpoint while it exists.
class ClientConnection
{
public:
    ClientConnection(Tcp::socket socket, std::atomic<std::uint64_t> &bytes, std::shared_ptr<EndpointConnections> owner);
    ~ClientConnection();

    TcpChannel channel;
    std::shared_ptr<EndpointConnections> owner;
    TimePoint lastUsed;
    // Until when it may be used again.
    TimePoint usableUntil;
};

// The connections of a client by endpoint. A connection is handed out to one
// exchange at a time.
class ConnectionPool
{
public:
    struct Options
    {
        std::size_t maxIdlePerEndpoint = 32;
        // Connections to one endpoint that may be open at a time.
        std::size_t maxPerEndpoint = 512;
        Milliseconds maxIdleAge{20000};
        Milliseconds connectTimeout{60000};
        // Zero leaves it to the system.
        Milliseconds unackedTimeout{0};
        bool keepAliveProbes = false;
    };

    ConnectionPool(asio::io_context &context, Options options);
    ~ConnectionPool();

    // What is known of the endpoint; its address is parsed once.
    std::shared_ptr<EndpointConnections> connectionsTo(const Endpoint &endpoint);

    // An idle connection that is fit for use and was used within that time, or
    // null.
    std::unique_ptr<ClientConnection> takeIdle(EndpointConnections &connections, Milliseconds maxIdle = std::chrono::hours(24));

    // A new connection; Unavailable if none comes about by the deadline.
    asio::awaitable<Result<std::unique_ptr<ClientConnection>>> connect(std::shared_ptr<EndpointConnections> connections, TimePoint deadline);

    // Keeps the connection for later use, unless enough are kept; not beyond
    // the time for which the server says that it keeps it.
    void giveBack(std::unique_ptr<ClientConnection> connection, Milliseconds keptByServer = Milliseconds::max());

    void closeIdle(const Endpoint &endpoint);

    // Closes idle connections that may not be used any more, and frees the buffers
    // of those that have been idle for a while. Cheap; call it about once a second.
    void trimIdle();

    std::uint64_t bytes() const;

private:
    struct EndpointHash
    {
        std::size_t operator()(const Endpoint &endpoint) const;
    };

    asio::io_context &m_context;
    Options m_options;
    DeadlineSweeper m_sweeper;
    std::atomic<std::uint64_t> m_bytes = 0;
    std::unordered_map<Endpoint, std::shared_ptr<EndpointConnections>, EndpointHash> m_endpoints;
};

}
