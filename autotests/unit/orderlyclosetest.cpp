// Connections that the server ends: what it has sent must arrive, whatever the peer sends meanwhile and however
// slowly it reads.

#include "httptest.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace Galenahill;

namespace {

const Endpoint ServerEndpoint{testAddress(61), 18161};

// Shorter than the server's interval for looking at connections whose request is being handled, so that it finds a
// further request only after the response.
constexpr Milliseconds HandlerTime{50};
constexpr Milliseconds SendNextAfter{30};
constexpr Milliseconds ReadAfter{90};

constexpr std::size_t LargeBody = 200 * 1024;
constexpr std::size_t SmallBody = 9 * 1024;
constexpr int SmallReceiveBuffer = 2048;

constexpr int Rounds = 5;

std::string get(std::size_t bytes)
{
    return fmt::format("GET /{} HTTP/1.1\r\nHost: h\r\n\r\n", bytes);
}

// A server whose responses have the length that the path states.
struct Fixture
{
    RunningServer server{HttpServer::Options{.endpoint = ServerEndpoint,
        .handler = [this](HttpRequest request, ServerConnection &) { return handle(std::move(request)); },
        .mayPipeline = [](const HttpRequest &) { return true; }}};

    // Called with the next request only.
    std::function<void()> onRequest;

    asio::awaitable<HttpResponse> handle(HttpRequest request)
    {
        if (const auto call = std::exchange(onRequest, nullptr)) {
            call();
        }
        asio::steady_timer timer(co_await asio::this_coro::executor, HandlerTime);
        co_await timer.async_wait(asio::use_awaitable);
        co_return makeResponse(http::status::ok, "text/plain", std::string(std::stoul(std::string(request.target().substr(1))), 'x'));
    }

    void stopAfterResponses()
    {
        server.invoke([](HttpServer &it) {
            it.closeAfterResponses();
            return 0;
        });
    }

    // Whether the caller gets the complete response.
    static bool receives(RawClient &caller, std::size_t bytes)
    {
        return caller.readTo("\r\n\r\n").starts_with("HTTP/1.1 200") && caller.skip(bytes);
    }

    // The server ends the connection after the response; the caller sends a further request that soon after its first one,
    // and reads late. Returns how often it gets the complete response.
    int deliveries(std::size_t bytes, Milliseconds nextAfter, int receiveBuffer = 0)
    {
        int received = 0;
        for (int round = 0; round < Rounds; ++round) {
            RawClient caller(ServerEndpoint, receiveBuffer);
            caller.send(get(bytes));
            std::this_thread::sleep_for(nextAfter);
            stopAfterResponses();
            caller.send(get(bytes));
            std::this_thread::sleep_for(ReadAfter - nextAfter);
            received += receives(caller, bytes) ? 1 : 0;
        }
        return received;
    }
    // The caller gets the header of a response, and closes its sending half when the server has sent the rest.
    void halfCloseWithinResponse(RawClient &caller)
    {
        caller.send(get(SmallBody));
        BOOST_TEST(!caller.readTo("\r\n\r\n").empty());
        BOOST_TEST(server.waitUntil([](HttpServer &it) { return it.unansweredRequests() == 0; }));
        caller.closeSending();
        std::this_thread::sleep_for(ReadAfter);
    }
};

}

// Guards against a close that resets the connection because a further request is unread in the kernel.
BOOST_FIXTURE_TEST_CASE(ResponseArrivesWhenAFurtherRequestIsUnread, Fixture)
{
    BOOST_TEST(deliveries(LargeBody, SendNextAfter) == Rounds);
}

// Guards against the same for a caller with a small receive window.
BOOST_FIXTURE_TEST_CASE(ResponseArrivesAtACallerWithASmallWindow, Fixture)
{
    BOOST_TEST(deliveries(SmallBody, SendNextAfter, SmallReceiveBuffer) == Rounds);
}

// Guards against a reset by a request that arrives after the close, while the caller still reads the response.
BOOST_FIXTURE_TEST_CASE(ResponseArrivesWhenAFurtherRequestFollowsTheClose, Fixture)
{
    BOOST_TEST(deliveries(LargeBody, HandlerTime + Milliseconds(20)) == Rounds);
}

// Guards against taking the half-close of a peer for its receipt of the response.
BOOST_FIXTURE_TEST_CASE(StaysOpenUntilAPeerThatHalfClosedHasReceivedTheResponse, Fixture)
{
    const auto connections = [this] { return server.invoke([](HttpServer &it) { return it.connections(); }); };
    RawClient caller(ServerEndpoint, SmallReceiveBuffer);
    halfCloseWithinResponse(caller);
    BOOST_TEST(connections() == 1U);
    BOOST_TEST(caller.skip(SmallBody));
    BOOST_TEST(server.waitUntil([](HttpServer &it) { return it.connections() == 0; }));
}

// Guards against connections that wait for acknowledgements of a peer that has reset them.
BOOST_FIXTURE_TEST_CASE(EndsWhenThePeerResetsTheConnection, Fixture)
{
    stopAfterResponses();
    RawClient caller(ServerEndpoint, SmallReceiveBuffer);
    halfCloseWithinResponse(caller);
    const auto begin = Clock::now();
    // The kernel resets a connection that is closed with unread bytes.
    caller.close();
    BOOST_TEST(server.waitUntil([](HttpServer &it) { return it.connections() == 0; }));
    BOOST_TEST((Clock::now() - begin < HttpServer::Options().readTimeout / 2));
}

// Guards against a response that ends with the connection and looks complete although its source broke off.
BOOST_AUTO_TEST_CASE(ResetsTheConnectionIfAResponseWithoutLengthBreaksOff)
{
    struct BrokenBody : BodySource
    {
        asio::awaitable<ErrorCode> read(std::string &, std::size_t) override
        {
            co_return asio::error::connection_reset;
        }

        bool done() const override
        {
            return false;
        }

        bool readStarted() const override
        {
            return true;
        }

        std::optional<std::uint64_t> length() const override
        {
            return std::nullopt;
        }
    };
    const auto handle = [](HttpRequest, ServerConnection &connection) -> asio::awaitable<HttpResponse> {
        BrokenBody rest;
        co_await connection.sendStreamed(makeResponse(http::status::ok, "text/plain", "begin"), rest);
        co_return makeResponse(http::status::ok, "text/plain", "");
    };
    RunningServer server({.endpoint = ServerEndpoint, .handler = handle});
    RawClient caller(ServerEndpoint);
    caller.send("GET / HTTP/1.0\r\n\r\n");
    caller.readToEnd();
    BOOST_TEST(caller.wasReset());
}

// Guards against a response that ends with the connection and looks complete although the server that sends it has ended.
BOOST_AUTO_TEST_CASE(ResetsTheConnectionIfAResponseWithoutLengthIsAbandoned)
{
    struct UnfinishedBody : BodySource
    {
        asio::awaitable<ErrorCode> read(std::string &part, std::size_t) override
        {
            asio::steady_timer timer(co_await asio::this_coro::executor, started ? TestTimeout : Milliseconds(0));
            co_await timer.async_wait(asio::use_awaitable);
            started = true;
            part = "more";
            co_return ErrorCode();
        }

        bool done() const override
        {
            return false;
        }

        bool readStarted() const override
        {
            return started;
        }

        std::optional<std::uint64_t> length() const override
        {
            return std::nullopt;
        }

        bool started = false;
    };
    const auto handle = [](HttpRequest, ServerConnection &connection) -> asio::awaitable<HttpResponse> {
        UnfinishedBody rest;
        co_await connection.sendStreamed(makeResponse(http::status::ok, "text/plain", "begin"), rest);
        co_return makeResponse(http::status::ok, "text/plain", "");
    };
    std::optional<RunningServer> server;
    server.emplace(HttpServer::Options{.endpoint = ServerEndpoint, .handler = handle});
    RawClient caller(ServerEndpoint);
    caller.send("GET / HTTP/1.0\r\n\r\n");
    BOOST_TEST(!caller.readTo("more").empty());
    server.reset();
    caller.readToEnd();
    BOOST_TEST(caller.wasReset());
}

// Guards against idle connections that are closed although a request has arrived and is unread.
BOOST_FIXTURE_TEST_CASE(AnswersARequestThatArrivesAsIdleConnectionsAreClosed, Fixture)
{
    RawClient caller(ServerEndpoint);
    caller.send(get(1));
    BOOST_TEST(receives(caller, 1));
    server.invoke([&](HttpServer &it) {
        caller.send(get(SmallBody));
        std::this_thread::sleep_for(Milliseconds(20));
        it.closeIdle();
        return 0;
    });
    BOOST_TEST(receives(caller, SmallBody));
}

// Guards against connections that are reset in the backlog when the server stops accepting.
BOOST_FIXTURE_TEST_CASE(AnswersARequestOnAConnectionThatWaitsToBeAccepted, Fixture)
{
    std::optional<RawClient> caller;
    server.invoke([&](HttpServer &it) {
        caller.emplace(ServerEndpoint);
        caller->send(get(SmallBody));
        std::this_thread::sleep_for(Milliseconds(20));
        it.drain();
        return 0;
    });
    BOOST_TEST(receives(*caller, SmallBody));
}

// Guards against a connection that the server has accepted, and drops because it has stopped listening before the accept
// is handled.
BOOST_FIXTURE_TEST_CASE(AnswersRequestsOfConnectionsAcceptedWhileItStopsListening, Fixture)
{
    constexpr std::size_t Callers = 20;
    std::vector<std::unique_ptr<RawClient>> callers;
    server.invoke([&](HttpServer &it) {
        // The first request is read while the others' connections are still being accepted.
        onRequest = [&it] {
            it.drain();
            it.closeIdle();
        };
        for (std::size_t i = 0; i < Callers; ++i) {
            callers.push_back(std::make_unique<RawClient>(ServerEndpoint));
            callers.back()->send(get(SmallBody));
        }
        return 0;
    });
    const auto answered = std::count_if(callers.begin(), callers.end(), [](const auto &caller) { return receives(*caller, SmallBody); });
    BOOST_TEST(answered == Callers);
}

// Guards against a stop that a caller prolongs by sending on: it answers what has arrived when it begins, and no more.
BOOST_FIXTURE_TEST_CASE(AnswersOnlyWhatHasArrivedOnceItStops, Fixture)
{
    RawClient caller(ServerEndpoint);
    caller.send(get(1) + get(1) + get(1));
    BOOST_TEST(server.waitUntil([](HttpServer &it) { return it.requestsInFlight() == 3; }));
    server.invoke([&](HttpServer &it) {
        it.drain();
        caller.send(get(1) + get(1));
        return 0;
    });
    const auto responses = caller.readToEnd();
    BOOST_REQUIRE(responses.has_value());
    std::size_t count = 0;
    for (auto at = responses->find("HTTP/1.1 "); at != std::string::npos; at = responses->find("HTTP/1.1 ", at + 1)) {
        ++count;
    }
    BOOST_TEST(count == 3U);
    BOOST_TEST(responses->find("Connection: close") != std::string::npos);
}

// Guards against an end that is reported as clean although a request had no answer.
BOOST_AUTO_TEST_CASE(ReportsARequestThatTheEndOfAnIdleConnectionDiscards)
{
    std::vector<ConnectionEnd> ends;
    RunningServer server(HttpServer::Options{.endpoint = ServerEndpoint,
        .handler = [](HttpRequest, ServerConnection &) -> asio::awaitable<HttpResponse> { co_return makeResponse(http::status::ok, "text/plain", "x"); },
        .connectionEnded = [&](const ConnectionEnd &end) { ends.push_back(end); }});
    RawClient caller(ServerEndpoint);
    caller.send(get(1));
    BOOST_TEST(Fixture::receives(caller, 1));
    server.invoke([](HttpServer &it) { return it.closeIdle(); });
    std::this_thread::sleep_for(Milliseconds(20));
    caller.send(get(1));
    BOOST_TEST(caller.readTo("\r\n\r\n").empty());
    caller.close();
    BOOST_TEST(server.waitUntil([&](HttpServer &) { return !ends.empty(); }));
    BOOST_REQUIRE(!ends.empty());
    BOOST_TEST(!ends.front().isClean());
}

// Guards against a caller that leaves in the middle of a response and is reported as left by the server.
BOOST_AUTO_TEST_CASE(ReportsThatThePeerClosedInTheMiddleOfAResponse)
{
    std::vector<ConnectionEnd> ends;
    RunningServer server(HttpServer::Options{.endpoint = ServerEndpoint,
        .handler = [](HttpRequest, ServerConnection &) -> asio::awaitable<HttpResponse> {
            co_return makeResponse(http::status::ok, "text/plain", std::string(32 * 1024 * 1024, 'x'));
        },
        .connectionEnded = [&](const ConnectionEnd &end) { ends.push_back(end); }});
    {
        RawClient caller(ServerEndpoint, SmallReceiveBuffer);
        caller.send(get(1));
        std::this_thread::sleep_for(Milliseconds(200));
    }
    BOOST_TEST(server.waitUntil([&](HttpServer &) { return !ends.empty(); }));
    BOOST_REQUIRE(!ends.empty());
    BOOST_TEST((ends.front().closer == ConnectionEnd::Closer::Peer));
}

// Guards against a caller that has just connected, and whose request meets the end of its connection.
BOOST_FIXTURE_TEST_CASE(AnswersTheFirstRequestOfANewConnectionWhileItStops, Fixture)
{
    RawClient caller(ServerEndpoint);
    BOOST_TEST(server.waitUntil([](HttpServer &it) { return it.connections() == 1; }));
    server.invoke([](HttpServer &it) {
        it.drain();
        return it.closeIdle();
    });
    std::this_thread::sleep_for(Milliseconds(20));
    caller.send(get(SmallBody));
    BOOST_TEST(receives(caller, SmallBody));
    BOOST_TEST(server.waitUntil([](HttpServer &it) { return it.closeIdle() == 0; }));
}

// Guards against warnings about requests that a caller sends behind a response with Connection: close.
BOOST_AUTO_TEST_CASE(ReportsDiscardedRequestsBehindAnAnnouncedEndAsClean)
{
    std::vector<ConnectionEnd> ends;
    RunningServer server(HttpServer::Options{.endpoint = ServerEndpoint,
        .handler = [](HttpRequest, ServerConnection &) -> asio::awaitable<HttpResponse> { co_return makeResponse(http::status::ok, "text/plain", "x"); },
        .connectionEnded = [&](const ConnectionEnd &end) { ends.push_back(end); }});
    RawClient caller(ServerEndpoint);
    caller.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    BOOST_TEST(Fixture::receives(caller, 1));
    caller.send(get(1));
    std::this_thread::sleep_for(Milliseconds(20));
    caller.close();
    BOOST_TEST(server.waitUntil([&](HttpServer &) { return !ends.empty(); }));
    BOOST_REQUIRE(!ends.empty());
    BOOST_TEST(ends.front().discardedBytes == get(1).size());
    BOOST_TEST(ends.front().isClean());
}
