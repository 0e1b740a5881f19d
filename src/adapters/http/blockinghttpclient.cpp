#include "adapters/http/blockinghttpclient.h"

#include "adapters/http/httpclient.h"

#include <optional>

namespace Galenahill {

namespace {

// How often a blocked exchange checks whether it should stop.
constexpr Milliseconds StopCheckInterval{100};

asio::awaitable<void> exchangeInto(HttpClient &client, Endpoint endpoint, HttpRequest request, TimePoint deadline, std::optional<Result<HttpResponse>> &result)
{
    result = co_await client.exchange(std::move(endpoint), std::move(request), deadline);
}

}

Result<HttpResponse> blockingExchange(const Endpoint &endpoint, HttpRequest request, Milliseconds timeLimit, const std::atomic<bool> *stop)
{
    asio::io_context context(1);
    HttpClient client(context, {});
    std::optional<Result<HttpResponse>> result;
    request.keep_alive(false);
    asio::co_spawn(context, exchangeInto(client, endpoint, std::move(request), Clock::now() + timeLimit, result), asio::detached);
    while (!result && !(stop != nullptr && *stop)) {
        context.run_for(StopCheckInterval);
    }
    if (!result) {
        return failure(ErrorKind::OutcomeUnknown, "stopped while waiting for " + toString(endpoint));
    }
    return std::move(*result);
}

}
