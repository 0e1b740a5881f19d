#include "httptest.h"

#include <boost/asio/read_until.hpp>
#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const Endpoint ServerEndpoint{testAddress(10), 18100};
const std::string Body(60000, 'b');

// A server whose handler reads request bodies completely, in part or not at all, and counts the bytes.
struct Fixture
{
    std::atomic<bool> acceptsBodies = false;
    std::atomic<bool> stopsHalfway = false;
    std::atomic<std::size_t> bodyBytes = 0;
    HttpServer::Options options{.endpoint = ServerEndpoint,
        .handler = [this](HttpRequest request, ServerConnection &connection) { return handle(std::move(request), connection); },
        .streamBodies = true,
        .peersWaitForContinue = true};

    asio::awaitable<HttpResponse> handle(HttpRequest request, ServerConnection &connection)
    {
        auto *body = connection.requestBody();
        ErrorCode error;
        while (acceptsBodies && body != nullptr && !body->done() && !error) {
            error = co_await body->read(request.body(), 16384);
            if (stopsHalfway) {
                break;
            }
        }
        bodyBytes += request.body().size();
        co_return makeResponse(acceptsBodies ? http::status::ok : http::status::service_unavailable, "text/plain", std::to_string(request.body().size()));
    }
};

// A client that runs on its own thread and makes one exchange at a time.
class Caller
{
public:
    Caller()
        : m_guard(asio::make_work_guard(m_context))
        , m_client(m_context, {})
        , m_thread([this] { m_context.run(); })
    {
    }

    ~Caller()
    {
        m_context.stop();
        m_thread.join();
    }

    Result<HttpResponse> upload(const std::string &body)
    {
        std::promise<Result<HttpResponse>> promise;
        asio::co_spawn(
            m_context,
            [&]() -> asio::awaitable<void> {
                HttpRequest request(http::verb::post, "/upload", 11);
                request.set(http::field::host, "h");
                request.body() = body;
                HttpClient::ExchangeOptions exchangeOptions;
                exchangeOptions.expectContinue = true;
                auto response = co_await m_client.exchange(ServerEndpoint, request, Clock::now() + TestTimeout, exchangeOptions);
                promise.set_value(std::move(response));
            },
            asio::detached);
        return promise.get_future().get();
    }

    std::uint64_t bytes() const
    {
        return m_client.bytes();
    }

    std::size_t connections() const
    {
        return m_client.openConnections(ServerEndpoint);
    }

private:
    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;
    HttpClient m_client;
    std::thread m_thread;
};

}

// A target without free slots rejects uploads of 60 KB. A body sent with its header would occupy the
// target's link of 7 Mbit/s for 70 ms in vain. A rejected header costs a few hundred bytes, and the
// connection is reused.
BOOST_FIXTURE_TEST_CASE(DoesNotSendARejectedBody, Fixture)
{
    RunningServer server(options);
    Caller caller;
    for (int i = 0; i < 5; ++i) {
        const auto response = caller.upload(Body);
        BOOST_REQUIRE(response.has_value());
        BOOST_TEST(response->result_int() == 503U);
    }
    BOOST_TEST(caller.bytes() < 5000U);
    BOOST_TEST(caller.connections() == 1U);
    acceptsBodies = true;
    const auto response = caller.upload(Body);
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->body() == std::to_string(Body.size()));
    BOOST_TEST(caller.connections() == 1U);
}

// A small body is sent with its header, since waiting for 100 Continue would cost a round trip.
BOOST_FIXTURE_TEST_CASE(SendsASmallBodyWithItsHeader, Fixture)
{
    RunningServer server(options);
    Caller caller;
    acceptsBodies = true;
    const auto response = caller.upload("small");
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->body() == "5");
}

// The server responds before it has read the whole body. The connection isn't reused: the rest of the
// body would be read as the next request.
BOOST_FIXTURE_TEST_CASE(ClosesTheConnectionAfterAnEarlyResponse, Fixture)
{
    RunningServer server(options);
    Caller caller;
    acceptsBodies = true;
    stopsHalfway = true;
    const auto earlyResponse = caller.upload(Body);
    BOOST_TEST((!earlyResponse || earlyResponse->keep_alive() == false));
    stopsHalfway = false;
    const auto response = caller.upload(Body);
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->body() == std::to_string(Body.size()));
}

// The sidecar's process dies between the header of an upload and its response. If the client went on
// reading, it would wait for its deadline or take an empty header for status 200, and the caller would
// assume that its upload was stored. The client must report an unknown outcome immediately.
BOOST_AUTO_TEST_CASE(FailsIfTheServerClosesWithoutAFinalResponse)
{
    for (const std::string part : {"", "HTT", "HTTP/1.1 100 Continue\r\n", "HTTP/1.1 100 Continue\r\n\r\n"}) {
        asio::io_context context;
        Tcp::acceptor acceptor(context, Tcp::endpoint(asio::ip::make_address(ServerEndpoint.address), ServerEndpoint.port));
        std::thread server([&] {
            auto socket = acceptor.accept();
            std::string received;
            asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n");
            asio::write(socket, asio::buffer(part));
            socket.close();
        });
        Caller caller;
        const auto begin = Clock::now();
        const auto response = caller.upload(Body);
        server.join();
        BOOST_TEST((Clock::now() < begin + TestTimeout / 2));
        BOOST_TEST(!response.has_value(), "after \"" << part << "\"");
        BOOST_TEST((response || response.error().kind == ErrorKind::OutcomeUnknown));
    }
}

// A peer that isn't a node sends its body without waiting for 100 Continue. If it is rejected, it gets a
// response, and no part of its body is interpreted as a request.
BOOST_FIXTURE_TEST_CASE(DoesNotParseAnUnsolicitedBodyAsARequest, Fixture)
{
    options.peersWaitForContinue = false;
    RunningServer server(options);
    RawClient caller(ServerEndpoint);
    const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string body = hidden + std::string(80000, 'x');
    caller.send("POST /upload HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto responses = caller.readToEnd();
    BOOST_REQUIRE(responses.has_value());
    BOOST_TEST(responses->find("HTTP/1.1 503") != std::string::npos);
    BOOST_TEST(responses->find("HTTP/1.1", responses->find("HTTP/1.1 503") + 1) == std::string::npos);
}
