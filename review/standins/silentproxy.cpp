// Loopback proxy in front of a server. On SIGUSR1 all connections that are open at that moment go silent for good: they
// stay open, and nothing is relayed on them any more. Connections that are opened later work.
//   silentproxy LISTEN-IP LISTEN-PORT SERVER-IP SERVER-PORT

#include "adapters/http/asio.h"

#include <array>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdlib>
#include <list>
#include <memory>

namespace Galenahill {

namespace {

constexpr std::size_t PartBytes = 16 * 1024;

struct Link
{
    Tcp::socket client;
    Tcp::socket server;
    bool silent = false;
};

class SilentProxy
{
public:
    SilentProxy(asio::io_context &context, const Tcp::endpoint &listen, Tcp::endpoint server)
        : m_context(context)
        , m_acceptor(context, listen)
        , m_server(std::move(server))
        , m_signals(context, SIGUSR1)
    {
    }

    void start()
    {
        asio::co_spawn(m_context, accept(), asio::detached);
        asio::co_spawn(m_context, silenceOnSignal(), asio::detached);
    }

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            ErrorCode error;
            const auto link = std::make_shared<Link>(Link{Tcp::socket(m_context), Tcp::socket(m_context)});
            co_await m_acceptor.async_accept(link->client, asio::redirect_error(asio::use_awaitable, error));
            if (!error) {
                co_await link->server.async_connect(m_server, asio::redirect_error(asio::use_awaitable, error));
            }
            if (!error) {
                m_links.push_back(link);
                asio::co_spawn(m_context, relay(link, link->client, link->server), asio::detached);
                asio::co_spawn(m_context, relay(link, link->server, link->client), asio::detached);
            }
        }
    }

    asio::awaitable<void> relay(std::shared_ptr<Link> link, Tcp::socket &from, Tcp::socket &to)
    {
        std::array<char, PartBytes> part;
        ErrorCode error;
        while (!error) {
            const auto count = co_await from.async_read_some(asio::buffer(part), asio::redirect_error(asio::use_awaitable, error));
            if (link->silent) {
                co_return;
            }
            if (!error) {
                const auto bytes = asio::buffer(part.data(), count);
                co_await asio::async_write(to, bytes, asio::redirect_error(asio::use_awaitable, error));
            }
        }
        ErrorCode ignored;
        link->client.close(ignored);
        link->server.close(ignored);
        m_links.remove(link);
    }

    asio::awaitable<void> silenceOnSignal()
    {
        for (;;) {
            co_await m_signals.async_wait(asio::use_awaitable);
            for (const auto &link : m_links) {
                link->silent = true;
            }
        }
    }

    asio::io_context &m_context;
    Tcp::acceptor m_acceptor;
    Tcp::endpoint m_server;
    asio::signal_set m_signals;
    // Silent links stay in the list, so that their sockets stay open.
    std::list<std::shared_ptr<Link>> m_links;
};

Tcp::endpoint endpointOf(const char *address, const char *port)
{
    return {asio::ip::make_address(address), static_cast<std::uint16_t>(std::strtoul(port, nullptr, 10))};
}

}

}

int main(int argc, const char **argv)
{
    if (argc != 5) {
        return 2;
    }
    Galenahill::asio::io_context context(1);
    Galenahill::SilentProxy proxy(context, Galenahill::endpointOf(argv[1], argv[2]), Galenahill::endpointOf(argv[3], argv[4]));
    proxy.start();
    context.run();
    return 0;
}
