#include "statuspoller.h"

#include "adapters/http/httpclient.h"

#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

namespace Galenahill {

namespace {

constexpr Milliseconds ResponseTimeout{1000};

}

class StatusPoller::Private
{
public:
    asio::io_context context{1};
    HttpClient client{context, {}};
    std::atomic<bool> stopping = false;
    std::vector<StatusSample> samples;
    std::thread thread;

    asio::awaitable<void> poll(std::size_t node, Endpoint endpoint);
};

asio::awaitable<void> StatusPoller::Private::poll(std::size_t node, Endpoint endpoint)
{
    asio::steady_timer timer(context);
    while (!stopping) {
        HttpRequest request(http::verb::get, "/status", 11);
        request.set(http::field::host, toString(endpoint));
        const auto requestedAt = Clock::now();
        const auto response = co_await client.exchange(endpoint, std::move(request), requestedAt + ResponseTimeout);
        const auto status = response ? nlohmann::json::parse(response->body(), nullptr, false) : nlohmann::json();
        if (status.is_object() && status.contains("revision")) {
            samples.push_back({node, requestedAt, Clock::now(), Revision(status.value("revision", std::uint64_t(0))), ContentHash(status.value("digest", ""))});
        }
        ErrorCode ignored;
        timer.expires_after(Step);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

StatusPoller::StatusPoller(const Fleet &fleet)
    : d(std::make_unique<Private>())
{
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        asio::co_spawn(d->context, d->poll(node, fleet.control(node)), asio::detached);
    }
    d->thread = std::thread([this] { d->context.run(); });
}

StatusPoller::~StatusPoller()
{
    stop();
}

std::vector<StatusSample> StatusPoller::stop()
{
    d->stopping = true;
    if (d->thread.joinable()) {
        d->thread.join();
    }
    return std::move(d->samples);
}

}
