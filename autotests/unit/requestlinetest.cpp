#include "httptest.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <random>

using namespace Galenahill;

namespace {

const Endpoint Here{testAddress(9), 18090};

// A server whose handler holds requests below /held until it is told to let them go,
// and counts what it began.
struct Fixture
{
    std::atomic<int> begun = 0;
    std::atomic<int> cancelled = 0;
    std::atomic<bool> release = false;
    HttpServer::Options options{.endpoint = Here,
        .handler = [this](HttpRequest request, ServerConnection &connection) { return handle(std::move(request), connection); },
        .mayRunAhead = [](const HttpRequest &request) { return request.method() == http::verb::get; }};

    asio::awaitable<HttpResponse> handle(HttpRequest request, ServerConnection &connection)
    {
        ++begun;
        asio::steady_timer timer(co_await asio::this_coro::executor);
        const bool held = request.target().starts_with("/held");
        while (held && !release && !connection.cancellation().cancelled()) {
            timer.expires_after(Milliseconds(2));
            co_await timer.async_wait(asio::use_awaitable);
        }
        cancelled += connection.cancellation().cancelled() ? 1 : 0;
        co_return makeResponse(http::status::ok, "text/plain", answerTo(request));
    }

    static std::string answerTo(const HttpRequest &request)
    {
        return "<" + std::string(request.method_string()) + " " + std::string(request.target()) + " " + request.body() + ">";
    }

    bool waitForBegun(int count)
    {
        const auto end = Clock::now() + Patience;
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

// Time in which a request that must not begin would have begun.
constexpr Milliseconds Pause{250};

}

// A caller asks for three things at once, and the first takes long. All three
// run; the answers come in the order of the requests.
BOOST_FIXTURE_TEST_CASE(RunsAheadAndAnswersInOrder, Fixture)
{
    RunningServer server(options);
    RawCaller caller(Here);
    caller.send(get("/held/1") + get("/2") + get("/3"));
    BOOST_TEST(waitForBegun(3));
    release = true;
    BOOST_TEST(caller.readTo("<GET /held/1 >").find("<GET /2 >") == std::string::npos);
    BOOST_TEST(caller.readTo("<GET /2 >").find("<GET /3 >") == std::string::npos);
    BOOST_TEST(!caller.readTo("<GET /3 >").empty());
    caller.send(get("/4"));
    BOOST_TEST(!caller.readTo("<GET /4 >").empty());
    BOOST_TEST(server.ask([](HttpServer &it) { return it.requestsInFlight(); }) == 0U);
}

// The further requests come one by one while the first is handled.
BOOST_FIXTURE_TEST_CASE(TakesRequestsThatComeLater, Fixture)
{
    RunningServer server(options);
    RawCaller caller(Here);
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

// An order is sent behind a query that takes long. Were it run at once, and the
// query's answer closed the connection, the caller would take the order for unread
// and send it again: it would run twice.
BOOST_FIXTURE_TEST_CASE(AnOrderWaitsForTheAnswersBeforeIt, Fixture)
{
    RunningServer server(options);
    RawCaller caller(Here);
    caller.send(get("/held/1") + post("/order", "one") + get("/2"));
    BOOST_TEST(waitForBegun(1));
    std::this_thread::sleep_for(Pause);
    BOOST_TEST(begun == 1);
    release = true;
    BOOST_TEST(!caller.readTo("<GET /held/1 >").empty());
    BOOST_TEST(!caller.readTo("<POST /order one>").empty());
    BOOST_TEST(!caller.readTo("<GET /2 >").empty());
}

// The second request can't be read. The caller gets the whole first answer, then
// 400, and the connection ends: nothing behind it can be told apart.
BOOST_FIXTURE_TEST_CASE(AMalformedRequestCostsNoAnswerBeforeIt, Fixture)
{
    RunningServer server(options);
    RawCaller caller(Here);
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

// The caller says that it closes with the first request; what it sent behind is
// neither read nor run.
BOOST_FIXTURE_TEST_CASE(NothingRunsBehindAClose, Fixture)
{
    RunningServer server(options);
    RawCaller caller(Here);
    caller.send(get("/held/1", "Connection: close\r\n") + get("/2") + post("/order", "one"));
    BOOST_TEST(waitForBegun(1));
    std::this_thread::sleep_for(Pause);
    release = true;
    const auto answers = caller.readToEnd();
    BOOST_REQUIRE(answers.has_value());
    BOOST_TEST(answers->find("Connection: close") != std::string::npos);
    BOOST_TEST(answers->find("<GET /held/1 >") != std::string::npos);
    BOOST_TEST(answers->find("/2") == std::string::npos);
    BOOST_TEST(begun == 1);
}

// The server stops while two requests run on a connection and a third waits. Both
// are answered, the second says that the connection ends, the third never runs.
BOOST_FIXTURE_TEST_CASE(AStopAnswersWhatRuns, Fixture)
{
    RunningServer server(options);
    RawCaller caller(Here);
    caller.send(get("/held/1") + get("/held/2") + post("/order", "one"));
    BOOST_TEST(waitForBegun(2));
    server.ask([](HttpServer &it) {
        it.drain();
        return 0;
    });
    release = true;
    const auto answers = caller.readToEnd();
    BOOST_REQUIRE(answers.has_value());
    const auto second = answers->find("<GET /held/2 >");
    BOOST_TEST(answers->find("<GET /held/1 >") < second);
    BOOST_TEST(second != std::string::npos);
    BOOST_TEST(answers->rfind("Connection: close", second) > answers->find("<GET /held/1 >"));
    BOOST_TEST(begun == 2);
}

// The caller goes away with three requests running: all of them are told, so that
// their targets stop.
BOOST_FIXTURE_TEST_CASE(ACallerThatLeavesCancelsAll, Fixture)
{
    RunningServer server(options);
    {
        RawCaller caller(Here);
        caller.send(get("/held/1") + get("/held/2") + get("/held/3"));
        BOOST_TEST(waitForBegun(3));
        caller.close();
    }
    BOOST_TEST(server.waitUntil([&](HttpServer &it) { return cancelled == 3 && it.connections() == 0; }));
}

// A caller sends a hundred requests without waiting. A bounded number runs; none is
// lost.
BOOST_FIXTURE_TEST_CASE(ABoundedNumberIsInLine, Fixture)
{
    RunningServer server(options);
    RawCaller caller(Here);
    std::string requests;
    for (int i = 0; i < 100; ++i) {
        requests += get("/held/" + std::to_string(i));
    }
    caller.send(requests);
    BOOST_TEST(waitForBegun(2));
    std::this_thread::sleep_for(Pause);
    BOOST_TEST(begun <= 16);
    release = true;
    for (int i = 0; i < 100; ++i) {
        BOOST_REQUIRE(!caller.readTo("<GET /held/" + std::to_string(i) + " >").empty());
    }
}

// Two parts of a caller's bytes arrive apart from each other, wherever they are
// split: same answers, same order, no byte of one request in another.
BOOST_FIXTURE_TEST_CASE(SplitAnywhereTheAnswersAreTheSame, Fixture)
{
    RunningServer server(options);
    const auto requests = get("/1") + get("/2") + post("/3", "three") + postChunked("/4", "four") + get("/5");
    for (std::size_t split = 1; split < requests.size(); ++split) {
        RawCaller caller(Here);
        caller.send(requests.substr(0, split));
        std::this_thread::sleep_for(Milliseconds(1));
        caller.send(requests.substr(split));
        for (const std::string answer : {"<GET /1 >", "<GET /2 >", "<POST /3 three>", "<POST /4 four>", "<GET /5 >"}) {
            BOOST_REQUIRE_MESSAGE(caller.readTo(answer).find('<') != std::string::npos, answer << " with a split at " << split);
        }
    }
}

// Random requests in line, cut into random parts, with a malformed one at the end of
// some: every one before it is answered in order.
BOOST_FIXTURE_TEST_CASE(RandomLinesKeepTheirOrder, Fixture)
{
    RunningServer server(options);
    std::mt19937 random(20); // NOLINT(cert-msc32-c,cert-msc51-cpp): the same lines in each run
    const auto below = [&](std::size_t bound) { return random() % bound; };
    for (int round = 0; round < 60; ++round) {
        std::string requests;
        std::vector<std::string> answers;
        const auto count = 1 + below(12);
        for (std::size_t i = 0; i < count; ++i) {
            const auto target = "/" + std::to_string(i);
            const std::string body(below(200), 'b');
            const auto kind = below(4);
            requests += kind == 0 ? post(target, body) : get(target);
            answers.push_back(kind == 0 ? fmt::format("<POST {} {}>", target, body) : fmt::format("<GET {} >", target));
        }
        const bool malformed = below(3) == 0;
        requests += malformed ? "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n" : "";
        RawCaller caller(Here);
        for (std::size_t sent = 0; sent < requests.size();) {
            const auto part = 1 + below(300);
            caller.send(requests.substr(sent, part));
            sent += part;
        }
        for (const auto &answer : answers) {
            const auto text = caller.readTo(answer);
            BOOST_REQUIRE_MESSAGE(!text.empty() && text.find('<') == text.size() - answer.size(), answer << " in round " << round);
        }
        if (malformed) {
            BOOST_TEST(caller.readToEnd().value_or("").substr(0, 12) == "HTTP/1.1 400");
        }
    }
}
