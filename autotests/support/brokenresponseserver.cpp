#include "brokenresponseserver.h"

#include "httptest.h"

#include <list>
#include <mutex>

namespace Galenahill::Test {

namespace {

constexpr int ReceiveBufferBytes = 4096;
constexpr std::size_t RepeatedPartBytes = 64 * 1024;

}

class BrokenResponseServer::Private
{
public:
    Private(const Endpoint &endpoint, Script given)
        : script(std::move(given))
        , acceptor(context)
    {
        const Tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
        acceptor.open(address.protocol());
        acceptor.set_option(Tcp::acceptor::reuse_address(true));
        acceptor.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
        acceptor.bind(address);
        acceptor.listen();
        thread = std::thread([this] { accept(); });
    }

    struct Connection
    {
        Tcp::socket socket;
        std::thread thread;
    };

    void accept();
    void serve(Tcp::socket &socket);
    static bool respond(Tcp::socket &socket, const BrokenResponse &response);
    static void discard(Tcp::socket &socket);

    Script script;
    asio::io_context context;
    Tcp::acceptor acceptor;
    std::atomic<bool> stopping = false;
    std::atomic<std::size_t> requests = 0;
    std::atomic<std::size_t> closedByClient = 0;
    std::mutex mutex;
    std::list<Connection> connections;
    std::thread thread;
};

BrokenResponseServer::BrokenResponseServer(const Endpoint &endpoint, Script script)
    : d(std::make_unique<Private>(endpoint, std::move(script)))
{
}

BrokenResponseServer::BrokenResponseServer(const Endpoint &endpoint, BrokenResponse response)
    : BrokenResponseServer(endpoint, [response = std::move(response)](const std::string &) { return response; })
{
}

BrokenResponseServer::~BrokenResponseServer()
{
    d->stopping = true;
    ::shutdown(d->acceptor.native_handle(), SHUT_RDWR);
    d->thread.join();
    for (auto &connection : d->connections) {
        {
            const std::lock_guard lock(d->mutex);
            ErrorCode ignored;
            connection.socket.shutdown(Tcp::socket::shutdown_both, ignored);
        }
        connection.thread.join();
    }
}

Endpoint BrokenResponseServer::endpoint() const
{
    const auto local = d->acceptor.local_endpoint();
    return {local.address().to_string(), local.port()};
}

std::size_t BrokenResponseServer::requests() const
{
    return d->requests;
}

std::size_t BrokenResponseServer::closedByClient() const
{
    return d->closedByClient;
}

void BrokenResponseServer::Private::accept()
{
    while (!stopping) {
        ErrorCode error;
        Tcp::socket socket(context);
        acceptor.accept(socket, error);
        if (!error) {
            auto &connection = connections.emplace_back(Connection{std::move(socket), {}});
            connection.thread = std::thread([this, &connection] { serve(connection.socket); });
        }
    }
}

void BrokenResponseServer::Private::serve(Tcp::socket &socket)
{
    ErrorCode error;
    std::string header;
    bool open = true;
    while (open) {
        char byte = 0;
        socket.read_some(asio::buffer(&byte, 1), error);
        open = !error;
        header += byte;
        if (open && header.ends_with("\r\n\r\n")) {
            ++requests;
            const auto response = script(header);
            open = respond(socket, response) && response.end == BrokenResponse::End::None;
            closedByClient += response.end == BrokenResponse::End::None && !open ? 1 : 0;
            header.clear();
        }
    }
    closedByClient += error && !stopping ? 1 : 0;
    const std::lock_guard lock(mutex);
    socket.close(error);
}

// Returns whether the connection could still be used.
bool BrokenResponseServer::Private::respond(Tcp::socket &socket, const BrokenResponse &response)
{
    using End = BrokenResponse::End;
    ErrorCode error;
    std::this_thread::sleep_for(response.delay);
    asio::write(socket, asio::buffer(response.bytes), error);
    std::string part = response.repeated;
    while (!part.empty() && part.size() < RepeatedPartBytes) {
        part += part;
    }
    while (!part.empty() && !error) {
        asio::write(socket, asio::buffer(part), error);
    }
    if (response.end == End::Close || response.end == End::CloseThenReset) {
        socket.shutdown(Tcp::socket::shutdown_send, error);
    }
    if (response.end == End::Close) {
        discard(socket);
    }
    if (response.end == End::Reset || response.end == End::CloseThenReset) {
        std::this_thread::sleep_for(response.resetDelay);
        socket.set_option(asio::socket_base::linger(true, 0), error);
    }
    return !error;
}

void BrokenResponseServer::Private::discard(Tcp::socket &socket)
{
    ErrorCode error;
    std::array<char, 65536> part;
    while (!error) {
        socket.read_some(asio::buffer(part), error);
    }
}

}
