#include "adapters/http/httpclient.h"

#include "adapters/http/clientexchange.h"

#include "adapters/http/sleep.h"

namespace Galenahill {

namespace {

// A process that ends may close its connections before its listening socket.
constexpr Milliseconds ListenCheckInterval{2};
constexpr int ListenChecks = 3;

}

class HttpClient::Private
{
public:
    Private(asio::io_context &context, Options given)
        : context(context)
        , options(std::move(given))
        , pool(std::make_shared<ConnectionPool>(context,
              ConnectionPool::Options{.maxIdlePerEndpoint = options.maxIdlePerEndpoint,
                  .maxPerEndpoint = options.maxPerEndpoint,
                  .maxIdleAge = options.maxIdleAge,
                  .connectTimeout = options.connectTimeout,
                  .unackedTimeout = options.unackedTimeout,
                  .keepAliveProbes = options.keepAliveProbes}))
    {
    }

    asio::io_context &context;
    Options options;
    std::shared_ptr<ConnectionPool> pool;
};

HttpClient::HttpClient(asio::io_context &context, Options options)
    : d(std::make_shared<Private>(context, std::move(options)))
{
}

HttpClient::~HttpClient() = default;

asio::awaitable<Result<HttpResponse>> HttpClient::exchange(Endpoint endpoint, HttpRequest request, TimePoint deadline)
{
    co_return co_await exchange(endpoint, request, deadline, ExchangeOptions());
}

asio::awaitable<Result<HttpResponse>> HttpClient::exchange(const Endpoint &endpoint, HttpRequest &request, TimePoint deadline, ExchangeOptions exchangeOptions)
{
    const auto self = d;
    if (self->options.reachable && !self->options.reachable(endpoint)) {
        co_return failure(ErrorKind::Unavailable, toString(endpoint) + ": disconnected by fault injection");
    }
    auto &pool = *self->pool;
    const auto connections = pool.connectionsTo(endpoint);
    auto *cancellation = exchangeOptions.cancellation;
    const auto isCancelled = [cancellation] { return cancellation != nullptr && cancellation->cancelled(); };
    if (isCancelled()) {
        co_return failure(ErrorKind::Unavailable, toString(endpoint) + ": the request was cancelled before it was sent");
    }
    auto connection = pool.takeIdle(*connections, exchangeOptions.maxIdle, exchangeOptions.avoidAmbiguity);
    if (!connection) {
        auto connected = co_await pool.connect(connections, deadline, cancellation);
        if (!connected) {
            co_return tl::unexpected(connected.error());
        }
        connection = std::move(*connected);
    }
    if (isCancelled()) {
        pool.release(std::move(connection));
        co_return failure(ErrorKind::Unavailable, toString(endpoint) + ": the request was cancelled before it was sent");
    }
    const auto exchange = std::make_shared<ClientExchange>(self->pool, std::move(connection), self->options);
    if (cancellation != nullptr) {
        cancellation->setHook([weak = std::weak_ptr(exchange)] {
            if (const auto running = weak.lock()) {
                running->abort();
            }
        });
    }
    auto response = co_await exchange->run(request, deadline, exchangeOptions);
    co_return response;
}

asio::awaitable<void> HttpClient::warm(Endpoint endpoint, std::size_t count, TimePoint deadline)
{
    const auto self = d;
    const auto connections = self->pool->connectionsTo(endpoint);
    for (std::size_t i = 0; i < count && connections->open < std::min(count, connections->limit); ++i) {
        auto connected = co_await self->pool->connect(connections, deadline);
        if (!connected) {
            co_return;
        }
        self->pool->release(std::move(*connected));
    }
}

asio::awaitable<bool> HttpClient::refusesConnections(Endpoint endpoint, TimePoint deadline)
{
    const auto self = d;
    const auto connections = self->pool->connectionsTo(endpoint);
    for (int check = 0; check < ListenChecks; ++check) {
        if (ConnectionPool::hasOpenIdle(*connections)) {
            co_await sleepFor(self->context, ListenCheckInterval);
            if (ConnectionPool::hasOpenIdle(*connections)) {
                co_return false;
            }
        }
        auto connected = co_await self->pool->connect(connections, deadline);
        if (!connected) {
            co_return connections->connectResult == asio::error::connection_refused;
        }
        co_await sleepFor(self->context, ListenCheckInterval);
        if (!(*connected)->channel.readable()) {
            self->pool->release(std::move(*connected));
            co_return false;
        }
    }
    co_return false;
}

void HttpClient::limitConnections(const Endpoint &endpoint, std::size_t limit)
{
    d->pool->connectionsTo(endpoint)->limit = limit;
}

void HttpClient::closeIdle(const Endpoint &endpoint)
{
    d->pool->closeIdle(endpoint);
}

void HttpClient::trimIdle()
{
    d->pool->trimIdle();
}

std::size_t HttpClient::openConnections(const Endpoint &endpoint) const
{
    return d->pool->connectionsTo(endpoint)->open;
}

std::uint64_t HttpClient::bytes() const
{
    return d->pool->bytes().all;
}

std::uint64_t HttpClient::bytesSentOnLink() const
{
    return d->pool->bytes().sentOnLink;
}

}
