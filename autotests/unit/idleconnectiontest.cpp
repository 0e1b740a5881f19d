#include "adapters/http/httpclient.h"
#include "adapters/http/httpserver.h"
#include "adapters/http/sleep.h"
#include "heapcounter.h"
#include "httptest.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const Endpoint ServerEndpoint{testAddress(2), 18093};

constexpr int Connections = 100;

// Below the read buffer of one side, so the limit fails if any buffer is kept.
constexpr std::int64_t MaxBytesPerIdleConnection = 4096;

}

// A node of a large fleet keeps connections to most other nodes and uses each of them every few
// seconds. Idle connections must not keep their read buffers, which would take most of its memory.
BOOST_AUTO_TEST_CASE(IdleConnectionsHoldNoReadBuffers)
{
    asio::io_context context(1);
    HttpServer server(context, {.endpoint = ServerEndpoint, .handler = [&context](HttpRequest, ServerConnection &) -> asio::awaitable<HttpResponse> {
                                    co_await sleepFor(context, Milliseconds(300));
                                    HttpResponse response(http::status::ok, 11);
                                    response.body() = "done";
                                    response.prepare_payload();
                                    co_return response;
                                }});
    BOOST_REQUIRE(server.listen().has_value());
    HttpClient client(context, {.maxIdlePerEndpoint = Connections});
    int completed = 0;
    const auto call = [&]() -> asio::awaitable<void> {
        HttpRequest request(http::verb::get, "/", 11);
        request.set(http::field::host, toString(ServerEndpoint));
        const auto result = co_await client.exchange(ServerEndpoint, std::move(request), Clock::now() + std::chrono::seconds(20));
        completed += result && result->body() == "done" ? 1 : 0;
    };
    const auto before = HeapCounter::liveBytes.load();
    for (int i = 0; i < Connections; ++i) {
        asio::co_spawn(context, call(), asio::detached);
    }
    context.run_for(Milliseconds(2500));
    BOOST_TEST(completed == Connections);
    BOOST_REQUIRE(client.openConnections(ServerEndpoint) == static_cast<std::size_t>(Connections));
    client.trimIdle();
    const auto perConnection = (HeapCounter::liveBytes - before) / Connections;
    BOOST_TEST_MESSAGE("bytes per idle connection, both sides: " << perConnection);
    BOOST_TEST(perConnection <= MaxBytesPerIdleConnection);
    // The connections can still be used.
    asio::co_spawn(context, call(), asio::detached);
    context.run_for(Milliseconds(600));
    BOOST_TEST(completed == Connections + 1);
    BOOST_TEST(client.openConnections(ServerEndpoint) == static_cast<std::size_t>(Connections));
}
