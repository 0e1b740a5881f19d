#include "adapters/udp/datagramsocket.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <random>
#include <vector>

namespace Galenahill {

class DatagramSocket::Private : public std::enable_shared_from_this<DatagramSocket::Private>
{
public:
    Private(asio::io_context &ioContext, Options given)
        : context(ioContext)
        , socket(ioContext)
        , buffer(given.maxDatagramBytes)
        , options(std::move(given))
    {
    }

    asio::io_context &context;
    Udp::socket socket;
    std::vector<char> buffer;
    Options options;
    std::atomic<std::uint64_t> bytes = 0;
    std::atomic<std::uint64_t> sentBytes = 0;
    std::atomic<std::uint64_t> datagrams = 0;
    std::minstd_rand random{std::random_device()()};

    bool shouldDrop()
    {
        return options.dropPercent > 0 && std::uniform_int_distribution<std::uint32_t>(0, 99)(random) < options.dropPercent;
    }

    asio::awaitable<void> receive()
    {
        const auto self = shared_from_this();
        while (socket.is_open()) {
            Udp::endpoint sender;
            ErrorCode error;
            const auto count = co_await socket.async_receive_from(asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted || !socket.is_open()) {
                co_return;
            }
            // Other errors report that an earlier datagram could not be delivered.
            if (!error) {
                bytes += count;
                ++datagrams;
                options.received({sender.address().to_string(), sender.port()}, std::string(buffer.data(), count));
            }
        }
    }
};

DatagramSocket::DatagramSocket(asio::io_context &context, Options options)
    : d(std::make_shared<Private>(context, std::move(options)))
{
}

DatagramSocket::~DatagramSocket()
{
    close();
}

Result<void> DatagramSocket::open()
{
    ErrorCode error;
    const auto address = asio::ip::make_address(d->options.endpoint.address, error);
    if (!error) {
        const Udp::endpoint endpoint(address, d->options.endpoint.port);
        d->socket.open(endpoint.protocol(), error);
        d->socket.bind(endpoint, error);
    }
    if (error) {
        return failure(
            ErrorKind::Invalid, fmt::format("{}: can't open UDP socket: {}; use a free address of this VM", toString(d->options.endpoint), error.message()));
    }
    asio::co_spawn(d->context, d->receive(), asio::detached);
    return {};
}

void DatagramSocket::send(const Endpoint &to, std::string bytes)
{
    asio::post(d->context, [d = d, to, bytes = std::move(bytes)] {
        ErrorCode error;
        const auto address = asio::ip::make_address(to.address, error);
        if (error || !d->socket.is_open() || d->shouldDrop()) {
            return;
        }
        ++d->datagrams;
        const auto count = d->socket.send_to(asio::buffer(bytes), Udp::endpoint(address, to.port), 0, error);
        d->bytes += count;
        d->sentBytes += count;
    });
}

void DatagramSocket::close()
{
    ErrorCode ignored;
    d->socket.close(ignored);
}

std::uint64_t DatagramSocket::bytes() const
{
    return d->bytes;
}

std::uint64_t DatagramSocket::sentBytes() const
{
    return d->sentBytes;
}

std::uint64_t DatagramSocket::datagrams() const
{
    return d->datagrams;
}

}
