#include "faultproxy.h"

#include "adapters/http/asio.h"
#include "adapters/http/sleep.h"

#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <set>
#include <thread>

namespace Galenahill {

namespace {

// How often a direction that is cut looks whether it is still.
constexpr Milliseconds CutCheckInterval{5};

constexpr std::size_t PartBytes = 16 * 1024;

Tcp::endpoint tcpEndpoint(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.address), endpoint.port};
}

// Both ends of one relayed connection.
struct Link
{
    explicit Link(asio::io_context &context)
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
};

}

class FaultProxy::Private
{
public:
    Private(const Endpoint &listen, const Endpoint &server)
        : acceptor(context, tcpEndpoint(listen))
        , server(tcpEndpoint(server))
    {
    }

    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard = asio::make_work_guard(context);
    Tcp::acceptor acceptor;
    Tcp::endpoint server;
    Mode mode = Mode::Pass;
    Milliseconds delay{0};
    std::set<std::shared_ptr<Link>> links;
    std::thread thread;

    bool cut(bool answers) const
    {
        return mode == Mode::Silence || mode == (answers ? Mode::CutAnswers : Mode::CutRequests);
    }

    asio::awaitable<void> accept();
    asio::awaitable<void> relay(std::shared_ptr<Link> link);
    asio::awaitable<void> pump(std::shared_ptr<Link> link, bool answers);
};

FaultProxy::FaultProxy(const Endpoint &listen, const Endpoint &server)
    : d(std::make_unique<Private>(listen, server))
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
        for (const auto &link : mode == Mode::Reset ? d->links : std::set<std::shared_ptr<Link>>()) {
            link->reset();
        }
    });
}

asio::awaitable<void> FaultProxy::Private::accept()
{
    for (;;) {
        const auto link = std::make_shared<Link>(context);
        ErrorCode error;
        co_await acceptor.async_accept(link->client, asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            asio::co_spawn(context, relay(link), asio::detached);
        }
    }
}

asio::awaitable<void> FaultProxy::Private::relay(std::shared_ptr<Link> link)
{
    ErrorCode error;
    if (mode != Mode::Reset) {
        co_await link->server.async_connect(server, asio::redirect_error(asio::use_awaitable, error));
    }
    if (error || mode == Mode::Reset) {
        link->reset();
        co_return;
    }
    links.insert(link);
    asio::co_spawn(context, pump(link, false), asio::detached);
    co_await pump(link, true);
    links.erase(link);
}

asio::awaitable<void> FaultProxy::Private::pump(std::shared_ptr<Link> link, bool answers)
{
    auto &from = answers ? link->server : link->client;
    auto &to = answers ? link->client : link->server;
    std::array<char, PartBytes> part;
    ErrorCode error;
    while (!error) {
        const auto count = co_await from.async_read_some(asio::buffer(part), asio::redirect_error(asio::use_awaitable, error));
        while (cut(answers) && from.is_open()) {
            co_await sleepFor(context, CutCheckInterval);
        }
        if (mode == Mode::Delay) {
            co_await sleepFor(context, delay);
        }
        if (count > 0) {
            co_await asio::async_write(to, asio::buffer(part.data(), count), asio::redirect_error(asio::use_awaitable, error));
        }
    }
    ErrorCode ignored;
    to.shutdown(Tcp::socket::shutdown_send, ignored);
}

}
