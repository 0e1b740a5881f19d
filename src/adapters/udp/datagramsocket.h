#pragma once

#include "adapters/http/asio.h"
#include "common/endpoint.h"
#include "common/error.h"

#include <functional>
#include <memory>
#include <string>

namespace Galenahill {

// A UDP socket on one I/O context. `send` may be called from any thread.
class DatagramSocket
{
public:
    struct Options
    {
        Endpoint endpoint;
        std::function<void(const Endpoint &from, std::string bytes)> received;
        // Longer datagrams are truncated.
        std::size_t maxDatagramBytes = 65536;
        // Percentage of datagrams that are dropped instead of sent; for simulating a lossy network.
        std::uint32_t dropPercent = 0;
    };

    DatagramSocket(asio::io_context &context, Options options);
    ~DatagramSocket();

    // Binds and starts to receive. Invalid if the address is not available.
    Result<void> open();

    // Sends one datagram; if that fails, the datagram is lost.
    void send(const Endpoint &to, std::string bytes);

    void close();

    // Bytes received and sent, without IP and UDP headers.
    std::uint64_t bytes() const;

    // Of these, the bytes sent.
    std::uint64_t sentBytes() const;

    // Datagrams received and sent.
    std::uint64_t datagrams() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
