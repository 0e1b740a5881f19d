#include "httptest.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <random>

using namespace Galenahill;

namespace {

const Endpoint ServerEndpoint{testAddress(9), 18090};

// A server whose handler delays requests below /held and /late until they are released, and counts the requests
// that it has begun.
struct Fixture
{
    std::atomic<int> begun = 0;
    std::atomic<int> cancelled = 0;
    std::atomic<bool> release = false;
    std::atomic<bool> releaseLate = false;
    HttpServer::Options options{.endpoint = ServerEndpoint,
        .handler = [this](HttpRequest request, ServerConnection &connection) { return handle(std::move(request), connection); },
        .mayPipeline = [](const HttpRequest &request) { return request.method() == http::verb::get; }};

    asio::awaitable<HttpResponse> handle(HttpRequest request, ServerConnection &connection)
    {
        ++begun;
        asio::steady_timer timer(co_await asio::this_coro::executor);
        const bool held = request.target().starts_with("/held");
        const bool late = request.target().starts_with("/late");
        while (((held && !release) || (late && !releaseLate)) && !connection.cancellation().cancelled()) {
            timer.expires_after(Milliseconds(2));
            co_await timer.async_wait(asio::use_awaitable);
        }
        cancelled += connection.cancellation().cancelled() ? 1 : 0;
        co_return makeResponse(http::status::ok, "text/plain", responseTo(request));
    }

    static std::string responseTo(const HttpRequest &request)
    {
        return "<" + std::string(request.method_string()) + " " + std::string(request.target()) + " " + request.body() + ">";
    }

    bool waitForBegun(int count)
    {
        const auto end = Clock::now() + TestTimeout;
        while (begun < count && Clock::now() < end) {
            std::this_thread::sleep_for(Milliseconds(2));
        }
        return begun >= count;
    }
};

std::string get(const std::string &target, const std::string &fields = {})
{
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

std::string post(const std::string &target, const std::string &body)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string postChunked(const std::string &target, const std::string &body)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + std::to_string(body.size()) + "\r\n" + body + "\r\n0\r\n\r\n";
}

// Time within which a request that must not begin would have begun.
constexpr Milliseconds ObservationTime{250};

}

// A caller pipelines three requests, and the first takes long. All three run; the responses arrive in the
// order of the requests.
BOOST_FIXTURE_TEST_CASE(RunsPipelinedRequestsAndRespondsInOrder, Fixture)
{
    RunningServer server(options);
    RawClient caller(ServerEndpoint);
    caller.send(get("/held/1") + get("/2") + get("/3"));
    BOOST_TEST(waitForBegun(3));
    release = true;
    BOOST_TEST(caller.readTo("<GET /held/1 >").find("<GET /2 >") == std::string::npos);
    BOOST_TEST(caller.readTo("<GET /2 >").find("<GET /3 >") == std::string::npos);
    BOOST_TEST(!caller.readTo("<GET /3 >").empty());
    caller.send(get("/4"));
    BOOST_TEST(!caller.readTo("<GET /4 >").empty());
    BOOST_TEST(server.invoke([](HttpServer &it) { return it.requestsInFlight(); }) == 0U);
}

// Further requests arrive one by one while the first is being handled.
BOOST_FIXTURE_TEST_CASE(ReadsRequestsThatArriveLater, Fixture)
{
    RunningServer server(options);
    RawClient caller(ServerEndpoint);
    caller.send(get("/held/1"));
    BOOST_TEST(waitForBegun(1));
    caller.send(get("/held/2"));
    BOOST_TEST(waitForBegun(2));
    caller.send(get("/held/3").substr(0, 9));
    std::this_thread::sleep_for(Milliseconds(20));
    caller.send(get("/held/3").substr(9));
    BOOST_TEST(waitForBegun(3));
    release = true;
    BOOST_TEST(!caller.readTo("<GET /held/3 >").empty());
}

// Guards against a lowered header limit that ends the process while more bytes wait on a connection than the new limit.
BOOST_FIXTURE_TEST_CASE(LoweredHeaderLimitKeepsWaitingRequests, Fixture)
{
    constexpr int Requests = 64;
    constexpr int Running = 16;
    options.limits.headerBytes = 64 * 1024;
    RunningServer server(options);
    RawClient caller(ServerEndpoint);
    const std::string padding = "Padding: " + std::string(1400, 'p') + "\r\n";
    for (int i = 0; i < Requests; ++i) {
        caller.send(get((i < Running ? "/held/" : "/late/") + std::to_string(i), padding));
    }
    BOOST_TEST(waitForBegun(Running));
    std::this_thread::sleep_for(ObservationTime);
    server.invoke([this](HttpServer &it) {
        auto lowered = options.limits;
        lowered.headerBytes = 16 * 1024;
        it.setLimits(lowered);
        return true;
    });
    release = true;
    BOOST_TEST(waitForBegun(2 * Running));
    std::this_thread::sleep_for(ObservationTime);
    releaseLate = true;
    for (int i = 0; i < Requests; ++i) {
        BOOST_TEST(!caller.readTo("/" + std::to_string(i) + " >").empty());
    }
}

// A non-idempotent request is pipelined after a slow query. If it ran immediately and the query's
// response closed the connection, the caller would assume that it wasn't read and send it again, so
// that it would run twice.
BOOST_FIXTURE_TEST_CASE(NonIdempotentRequestWaitsForEarlierResponses, Fixture)
{
    RunningServer server(options);
    RawClient caller(ServerEndpoint);
    caller.send(get("/held/1") + post("/order", "one") + get("/2"));
    BOOST_TEST(waitForBegun(1));
    std::this_thread::sleep_for(ObservationTime);
    BOOST_TEST(begun == 1);
    release = true;
    BOOST_TEST(!caller.readTo("<GET /held/1 >").empty());
    BOOST_TEST(!caller.readTo("<POST /order one>").empty());
    BOOST_TEST(!caller.readTo("<GET /2 >").empty());
}

// The second request is malformed. The caller gets the complete first response, then 400, and the
// connection is closed, since the start of the next request is unknown.
BOOST_FIXTURE_TEST_CASE(RespondsBeforeAMalformedRequest, Fixture)
{
    RunningServer server(options);
    RawClient caller(ServerEndpoint);
    caller.send(get("/held/1") + "NO REQUEST\r\n\r\n" + get("/3"));
    BOOST_TEST(waitForBegun(1));
    std::this_thread::sleep_for(Milliseconds(20));
    release = true;
    BOOST_TEST(!caller.readTo("<GET /held/1 >").empty());
    const auto rest = caller.readToEnd();
    BOOST_REQUIRE(rest.has_value());
    BOOST_TEST(rest->substr(0, 12) == "HTTP/1.1 400");
    BOOST_TEST(begun == 1);
}

// The first request says Connection: close; requests after it are neither read nor run.
BOOST_FIXTURE_TEST_CASE(RunsNothingAfterConnectionClose, Fixture)
{
    RunningServer server(options);
    RawClient caller(ServerEndpoint);
    caller.send(get("/held/1", "Connection: close\r\n") + get("/2") + post("/order", "one"));
    BOOST_TEST(waitForBegun(1));
    std::this_thread::sleep_for(ObservationTime);
    release = true;
    const auto responses = caller.readToEnd();
    BOOST_REQUIRE(responses.has_value());
    BOOST_TEST(responses->find("Connection: close") != std::string::npos);
    BOOST_TEST(responses->find("<GET /held/1 >") != std::string::npos);
    BOOST_TEST(responses->find("/2") == std::string::npos);
    BOOST_TEST(begun == 1);
}

// The server drains while two requests run on a connection and a third waits. All get responses; the third
// never runs, and its response says so and Connection: close.
BOOST_FIXTURE_TEST_CASE(RespondsToRunningRequestsWhileDraining, Fixture)
{
    RunningServer server(options);
    RawClient caller(ServerEndpoint);
    caller.send(get("/held/1") + get("/held/2") + post("/order", "one"));
    BOOST_TEST(waitForBegun(2));
    server.invoke([](HttpServer &it) {
        it.drain();
        return 0;
    });
    release = true;
    const auto responses = caller.readToEnd();
    BOOST_REQUIRE(responses.has_value());
    const auto second = responses->find("<GET /held/2 >");
    BOOST_TEST(responses->find("<GET /held/1 >") < second);
    BOOST_REQUIRE(second != std::string::npos);
    const auto third = responses->substr(second);
    BOOST_TEST(third.find("HTTP/1.1 503 ") != std::string::npos);
    BOOST_TEST(third.find("Connection: close") != std::string::npos);
    BOOST_TEST(third.find("Galenahill-Outcome: not-run") != std::string::npos);
    BOOST_TEST(responses->find("Connection: close") > second);
    BOOST_TEST(begun == 2);
}

// Guards against 408 for a pipelined request whose header arrives in pieces while an earlier one is handled.
BOOST_FIXTURE_TEST_CASE(ReadsAHeaderThatArrivesInPiecesBehindASlowRequest, Fixture)
{
    RunningServer server(options);
    RawClient caller(ServerEndpoint);
    caller.send(get("/held/1") + "GET /2 HT");
    BOOST_TEST(waitForBegun(1));
    for (const auto *piece : {"TP/1.1\r\nHo", "st: h", "\r\n\r\n"}) {
        std::this_thread::sleep_for(ObservationTime);
        caller.send(piece);
    }
    BOOST_TEST(waitForBegun(2));
    release = true;
    BOOST_TEST(!caller.readTo("<GET /held/1 >").empty());
    BOOST_TEST(!caller.readTo("<GET /2 >").empty());
}

// Guards against connections that end without a response to a request that was read before the stop.
BOOST_FIXTURE_TEST_CASE(RespondsToWaitingRequestsBeforeItCloses, Fixture)
{
    RunningServer server(options);
    RawClient caller(ServerEndpoint);
    caller.send(get("/held/1") + post("/order", "one") + get("/3"));
    BOOST_TEST(waitForBegun(1));
    std::this_thread::sleep_for(ObservationTime);
    server.invoke([](HttpServer &it) {
        it.closeAfterResponses();
        return 0;
    });
    release = true;
    const auto responses = caller.readToEnd();
    BOOST_REQUIRE(responses.has_value());
    BOOST_TEST(responses->find("<POST /order one>") != std::string::npos);
    const auto last = responses->find("<GET /3 >");
    BOOST_REQUIRE(last != std::string::npos);
    BOOST_TEST(responses->rfind("Connection: close", last) > responses->find("<POST /order one>"));
    BOOST_TEST(begun == 3);
}

// The caller disconnects while three requests run. All of them are cancelled, so that their targets stop.
BOOST_FIXTURE_TEST_CASE(CancelsAllRequestsWhenTheCallerDisconnects, Fixture)
{
    RunningServer server(options);
    {
        RawClient caller(ServerEndpoint);
        caller.send(get("/held/1") + get("/held/2") + get("/held/3"));
        BOOST_TEST(waitForBegun(3));
        caller.close();
    }
    BOOST_TEST(server.waitUntil([&](HttpServer &it) { return cancelled == 3 && it.connections() == 0; }));
}

// A caller pipelines a hundred requests. A limited number runs at a time, and none is lost.
BOOST_FIXTURE_TEST_CASE(LimitsPipelinedRequests, Fixture)
{
    RunningServer server(options);
    RawClient caller(ServerEndpoint);
    std::string requests;
    for (int i = 0; i < 100; ++i) {
        requests += get("/held/" + std::to_string(i));
    }
    caller.send(requests);
    BOOST_TEST(waitForBegun(2));
    std::this_thread::sleep_for(ObservationTime);
    BOOST_TEST(begun <= 16);
    release = true;
    for (int i = 0; i < 100; ++i) {
        BOOST_REQUIRE(!caller.readTo("<GET /held/" + std::to_string(i) + " >").empty());
    }
}

// The caller's bytes arrive in two parts, split at every possible position. The responses and their order
// stay the same, and no byte of one request ends up in another.
BOOST_FIXTURE_TEST_CASE(RespondsTheSameForAnySplit, Fixture)
{
    RunningServer server(options);
    const auto requests = get("/1") + get("/2") + post("/3", "three") + postChunked("/4", "four") + get("/5");
    for (std::size_t split = 1; split < requests.size(); ++split) {
        RawClient caller(ServerEndpoint);
        caller.send(requests.substr(0, split));
        std::this_thread::sleep_for(Milliseconds(1));
        caller.send(requests.substr(split));
        for (const std::string response : {"<GET /1 >", "<GET /2 >", "<POST /3 three>", "<POST /4 four>", "<GET /5 >"}) {
            BOOST_REQUIRE_MESSAGE(caller.readTo(response).find('<') != std::string::npos, response << " with a split at " << split);
        }
    }
}

// Random pipelined requests, split into random parts, sometimes with a malformed one at the end. All
// requests before it get responses in order.
BOOST_FIXTURE_TEST_CASE(RandomPipelinesKeepTheirOrder, Fixture)
{
    RunningServer server(options);
    std::mt19937 random(20); // NOLINT(cert-msc32-c,cert-msc51-cpp): the same requests in each run
    const auto below = [&](std::size_t bound) { return random() % bound; };
    for (int round = 0; round < 60; ++round) {
        std::string requests;
        std::vector<std::string> responses;
        const auto count = 1 + below(12);
        for (std::size_t i = 0; i < count; ++i) {
            const auto target = "/" + std::to_string(i);
            const std::string body(below(200), 'b');
            const auto kind = below(4);
            requests += kind == 0 ? post(target, body) : get(target);
            responses.push_back(kind == 0 ? fmt::format("<POST {} {}>", target, body) : fmt::format("<GET {} >", target));
        }
        const bool malformed = below(3) == 0;
        requests += malformed ? "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n" : "";
        RawClient caller(ServerEndpoint);
        for (std::size_t sent = 0; sent < requests.size();) {
            const auto part = 1 + below(300);
            caller.send(requests.substr(sent, part));
            sent += part;
        }
        for (const auto &response : responses) {
            const auto text = caller.readTo(response);
            BOOST_REQUIRE_MESSAGE(!text.empty() && text.find('<') == text.size() - response.size(), response << " in round " << round);
        }
        if (malformed) {
            BOOST_TEST(caller.readToEnd().value_or("").substr(0, 12) == "HTTP/1.1 400");
        }
    }
}
