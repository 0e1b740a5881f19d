#include "httptest.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const Endpoint ServerEndpoint{testAddress(1), 18080};

// A server whose handler counts requests and echoes them.
struct Fixture
{
    std::atomic<int> handled = 0;
    std::atomic<int> cancelled = 0;
    std::atomic<bool> release = false;
    HttpServer::Options options{
        .endpoint = ServerEndpoint, .handler = [this](HttpRequest request, ServerConnection &connection) { return handle(std::move(request), connection); }};

    asio::awaitable<HttpResponse> handle(HttpRequest request, ServerConnection &connection)
    {
        ++handled;
        if (request.target() == "/throw") {
            throw std::runtime_error("broken handler");
        }
        if (request.target() == "/large") {
            co_return makeResponse(http::status::ok, "text/plain", std::string(64 * 1024 * 1024, 'x'));
        }
        if (request.target() == "/wait") {
            connection.cancellation().setHook([this] { ++cancelled; });
            asio::steady_timer timer(co_await asio::this_coro::executor);
            while (!release && !connection.cancellation().cancelled()) {
                timer.expires_after(Milliseconds(2));
                co_await timer.async_wait(asio::use_awaitable);
            }
        }
        co_return makeResponse(http::status::ok, "text/plain", std::string(request.target()) + "|" + request.body() + "|" + std::string(request["Host"]));
    }
};

std::string get(const std::string &target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

int statusOf(const std::string &response)
{
    return response.size() < 12 ? 0 : std::stoi(response.substr(9, 3));
}

// Checks that the server still serves a regular request.
void checkServes(const Endpoint &endpoint)
{
    RawClient caller(endpoint);
    caller.send(get("/fine"));
    BOOST_TEST(caller.readTo("/fine||h").substr(0, 15) == "HTTP/1.1 200 OK");
}

}

// A request makes the handler throw. An uncaught exception would end the connection's coroutine: the
// caller would wait for ever, and the request would count as in flight for good, so that a planned
// stop would run into its time limit.
BOOST_FIXTURE_TEST_CASE(RespondsWhenTheHandlerThrows, Fixture)
{
    RunningServer server(options);
    RawClient caller(ServerEndpoint);
    caller.send(get("/throw"));
    const auto response = caller.readToEnd();
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(statusOf(*response) == 500);
    BOOST_TEST(response->find("Galenahill-Outcome: outcome-unknown") != std::string::npos);
    BOOST_TEST(response->find("Connection: close") != std::string::npos);
    BOOST_TEST(server.waitUntil([](HttpServer &it) { return it.requestsInFlight() == 0 && it.connections() == 0; }));
    checkServes(ServerEndpoint);
}

// Request smuggling: a request whose end parsers determine differently hides a second one. If it were
// forwarded, the target would run a request that no route or limit has been applied to.
BOOST_FIXTURE_TEST_CASE(RejectsAmbiguousRequests, Fixture)
{
    RunningServer server(options);
    const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
    const std::string chunkedStart = start + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::string> shapes = {
        start + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        start + "Content-Length: 3, 3\r\n\r\nabc",
        start + "Content-Length: +3\r\n\r\nabc",
        start + "Content-Length: -3\r\n\r\nabc",
        start + "Content-Length: 0x3\r\n\r\nabc",
        start + "Content-Length: 99999999999999999999999\r\n\r\nabc",
        start + "Content-Length:\r\n\r\nabc",
        start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        start + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        start + "Transfer-Encoding: gzip\r\n\r\nabc",
        start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        start + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
        start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        start + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        start + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        start + "X: a\r\n b\r\n\r\n",
        start + "X: a\r\n\tContent-Length: 3\r\n\r\nabc",
        start + "X: a\nContent-Length: 3\r\n\r\nabc",
        "GET /a HTTP/1.1\nHost: h\n\n",
        start + "X: a\rY: b\r\n\r\n",
        start + std::string("X: a\0b\r\n\r\n", 10),
        start + "X\x01: a\r\n\r\n",
        start + ": a\r\n\r\n",
        start + "nocolon\r\n\r\n",
        chunkedStart + "x\r\nabc\r\n0\r\n\r\n",
        chunkedStart + "-1\r\nabc\r\n0\r\n\r\n",
        chunkedStart + "0x3\r\nabc\r\n0\r\n\r\n",
        chunkedStart + "3 \r\nabc\r\n0\r\n\r\n",
        chunkedStart + "\r\nabc\r\n0\r\n\r\n",
        chunkedStart + "3\r\nabcd\r\n0\r\n\r\n",
        chunkedStart + "3\nabc\r\n0\r\n\r\n",
        chunkedStart + "10000000000000003\r\nabc\r\n0\r\n\r\n",
    };
    for (const auto &shape : shapes) {
        BOOST_TEST_CONTEXT(shape)
        {
            RawClient caller(ServerEndpoint);
            caller.send(shape + get("/hidden"));
            const auto response = caller.readToEnd();
            BOOST_REQUIRE(response.has_value());
            BOOST_TEST((statusOf(*response) >= 400 && statusOf(*response) < 502));
            BOOST_TEST(response->find("Connection: close") != std::string::npos);
            BOOST_TEST(response->find("Galenahill-Outcome: not-run") != std::string::npos);
            BOOST_TEST(response->find("\"error\"") != std::string::npos);
        }
    }
    BOOST_TEST(handled == 0);
    checkServes(ServerEndpoint);
}

BOOST_FIXTURE_TEST_CASE(RejectsMalformedRequests, Fixture)
{
    RunningServer server(options);
    const std::vector<std::pair<std::string, int>> cases = {
        {"garbage\r\n\r\n", 400},
        {"GET  /a HTTP/1.1\r\nHost: h\r\n\r\n", 400},
        {"GET /a HTTP/2.0\r\nHost: h\r\n\r\n", 400},
        {"GET /a HTTP/1.2\r\nHost: h\r\n\r\n", 400},
        {"GET /a\r\n\r\n", 400},
        {"GET a HTTP/1.1\r\nHost: h\r\n\r\n", 400},
        {"GET * HTTP/1.1\r\nHost: h\r\n\r\n", 400},
        {"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", 400},
        {"GET /a HTTP/1.1\r\n\r\n", 400},
        {"GET /a HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n", 400},
        {"GET /a HTTP/1.1\r\nHost: h\r\nExpect: tea\r\n\r\n", 417},
        {"GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(20000, 'x') + "\r\n\r\n", 431},
        {"GET /" + std::string(20000, 'x') + " HTTP/1.1\r\nHost: h\r\n\r\n", 431},
        {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999\r\n\r\n", 413},
        {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n", 413},
        {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;" + std::string(40000, 'x'), 400},
    };
    for (const auto &[bytes, status] : cases) {
        BOOST_TEST_CONTEXT(bytes.substr(0, 80))
        {
            RawClient caller(ServerEndpoint);
            caller.send(bytes);
            const auto response = caller.readToEnd();
            BOOST_REQUIRE(response.has_value());
            BOOST_TEST(statusOf(*response) == status);
        }
    }
    BOOST_TEST(handled == 0);
    checkServes(ServerEndpoint);
}

// A caller sends its header or body byte by byte, or doesn't read the response, and would keep a
// connection and its memory for ever. Header, body and response each have a time limit, which single
// bytes don't extend.
BOOST_FIXTURE_TEST_CASE(TimesOutSlowCallers, Fixture)
{
    options.readTimeout = Milliseconds(200);
    options.limits.headerTimeout = Milliseconds(200);
    RunningServer server(options);
    for (const std::string start : {"GET /a HTTP/1.1\r\nX: ", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"}) {
        RawClient caller(ServerEndpoint);
        caller.send(start);
        std::atomic<bool> stop = false;
        std::thread trickle([&] {
            while (!stop && caller.send("x")) {
                std::this_thread::sleep_for(Milliseconds(5));
            }
        });
        const auto response = caller.readTo("Connection: close");
        stop = true;
        trickle.join();
        BOOST_TEST(statusOf(response) == 408);
    }
    RawClient reader(ServerEndpoint);
    reader.send(get("/large"));
    reader.readTo("200 OK");
    BOOST_TEST(server.waitUntil([](HttpServer &it) { return it.requestsInFlight() == 0 && it.connections() == 0; }));
    checkServes(ServerEndpoint);
}

BOOST_FIXTURE_TEST_CASE(RespondsToPipelinedRequestsInOrder, Fixture)
{
    RunningServer server(options);
    RawClient caller(ServerEndpoint);
    std::string requests;
    for (int i = 0; i < 500; ++i) {
        requests += get("/" + std::to_string(i));
    }
    std::thread sender([&] { caller.send(requests); });
    for (int i = 0; i < 500; ++i) {
        const auto wanted = "\r\n\r\n/" + std::to_string(i) + "||h";
        const auto response = caller.readTo(wanted);
        BOOST_TEST(statusOf(response) == 200);
        BOOST_TEST(response.find("200 OK", 20) == std::string::npos);
    }
    sender.join();
    BOOST_TEST(handled == 500);
}

BOOST_FIXTURE_TEST_CASE(FollowsTheProtocol, Fixture)
{
    RunningServer server(options);
    RawClient caller(ServerEndpoint);
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
    BOOST_TEST(caller.readTo("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    caller.send("abc");
    BOOST_TEST(!caller.readTo("/a|abc|h").empty());
    caller.send("HEAD /h HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto head = caller.readTo("\r\n\r\n");
    BOOST_TEST(head.find("Content-Length: 5\r\n") != std::string::npos);
    caller.send("GET http://other/p?q HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(!caller.readTo("\r\n\r\n/p?q||other").empty());
    caller.send("GET HTTP://other?q HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(!caller.readTo("\r\n\r\n/?q||other").empty());
    caller.send("OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(!caller.readTo("\r\n\r\n*||h").empty());
    // Trailer fields don't become header fields of the request.
    caller.send("POST /t HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nHost: forged\r\n\r\n");
    BOOST_TEST(!caller.readTo("/t|abc|h").empty());
    caller.send("\r\nGET /old HTTP/1.0\r\n\r\n");
    BOOST_TEST(caller.readToEnd()->find("/old||") != std::string::npos);
}

// Peers connect and send nothing until the server's connection limit is reached. If the server didn't
// close any, all others would be locked out until the peers' time limits pass. It never closes a
// connection whose request is being handled.
BOOST_FIXTURE_TEST_CASE(ClosesWaitingConnectionsAtTheLimit, Fixture)
{
    options.maxConnections = 8;
    RunningServer server(options);
    RawClient waiting(ServerEndpoint);
    waiting.send(get("/wait"));
    BOOST_TEST(server.waitUntil([](HttpServer &it) { return it.requestsInFlight() == 1; }));
    std::vector<std::unique_ptr<RawClient>> silent;
    for (int i = 0; i < 100; ++i) {
        silent.push_back(std::make_unique<RawClient>(ServerEndpoint));
        silent.back()->send(i % 2 == 0 ? "" : "GET /");
    }
    checkServes(ServerEndpoint);
    BOOST_TEST(server.invoke([](HttpServer &it) { return it.connections(); }) <= 8U);
    release = true;
    BOOST_TEST(!waiting.readTo("/wait||h").empty());
}

// A caller closes its connection while its call runs. The handler must be notified, or the target
// continues work that nobody waits for and keeps a slot occupied. Pipelined requests must not hide
// the close.
BOOST_FIXTURE_TEST_CASE(CancelsTheHandlerWhenTheCallerCloses, Fixture)
{
    RunningServer server(options);
    for (int requests = 1; requests <= 3; ++requests) {
        RawClient caller(ServerEndpoint);
        for (int i = 0; i < requests; ++i) {
            caller.send(get("/wait"));
        }
        BOOST_TEST(server.waitUntil([](HttpServer &it) { return it.requestsInFlight() == 1; }));
        caller.close();
        BOOST_TEST(server.waitUntil([](HttpServer &it) { return it.requestsInFlight() == 0 && it.connections() == 0; }));
        BOOST_TEST(cancelled == requests);
    }
    BOOST_TEST(handled == 3);
}

// Guards against a target that goes on with a call whose caller has half-closed its connection. Such a caller
// is considered gone, and gets no response.
BOOST_FIXTURE_TEST_CASE(CancelsTheHandlerWhenTheCallerHalfCloses, Fixture)
{
    RunningServer server(options);
    RawClient caller(ServerEndpoint);
    caller.send(get("/wait"));
    BOOST_TEST(server.waitUntil([](HttpServer &it) { return it.requestsInFlight() == 1; }));
    caller.closeSending();
    BOOST_TEST(server.waitUntil([](HttpServer &it) { return it.requestsInFlight() == 0 && it.connections() == 0; }));
    BOOST_TEST(cancelled == 1);
    BOOST_TEST(caller.readToEnd().value_or("open") == "");
}

// Guards against a stop that closes a connection with a request that runs, or whose body still arrives, and
// against one that leaves the others open.
BOOST_FIXTURE_TEST_CASE(ClosesIdleConnectionsAtAStop, Fixture)
{
    RunningServer server(options);
    RawClient idle(ServerEndpoint);
    idle.send(get("/fine"));
    BOOST_TEST(!idle.readTo("/fine||h").empty());
    RawClient running(ServerEndpoint);
    running.send(get("/wait"));
    RawClient sending(ServerEndpoint);
    sending.send("POST /late HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na");
    BOOST_TEST(server.waitUntil([](HttpServer &it) { return it.unansweredRequests() == 2; }));
    server.invoke([](HttpServer &it) {
        it.drain();
        it.closeIdle();
        return 0;
    });
    BOOST_TEST(idle.readToEnd().value_or("open") == "");
    sending.send("b");
    BOOST_TEST(!sending.readTo("/late|ab|h").empty());
    release = true;
    BOOST_TEST(!running.readTo("/wait||h").empty());
}

// An operator changes the limits while callers are connected. A request within the current limits must
// be served; one beyond them gets the status for the limit that it exceeds and never reaches the
// handler.
BOOST_FIXTURE_TEST_CASE(AppliesChangedLimits, Fixture)
{
    RunningServer server(options);
    const auto withField
        = [](std::size_t bytes) { return "POST /fine HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nX-Long: " + std::string(bytes, 'x') + "\r\n\r\nb"; };
    const auto statusFor = [&](std::size_t bytes) {
        RawClient caller(ServerEndpoint);
        caller.send(withField(bytes));
        return statusOf(caller.readTo("\r\n\r\n"));
    };
    BOOST_TEST(statusFor(20'000) == 431);
    server.invoke([](HttpServer &it) {
        it.setLimits({.headerBytes = 32 * 1024, .bodyBytes = 1024, .headerTimeout = Milliseconds(100), .idleTimeout = Milliseconds(100)});
        return 0;
    });
    BOOST_TEST(statusFor(20'000) == 200);
    BOOST_TEST(statusFor(40'000) == 431);
    RawClient large(ServerEndpoint);
    large.send("POST /fine HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n");
    BOOST_TEST(statusOf(large.readTo("\r\n\r\n")) == 413);
    RawClient slow(ServerEndpoint);
    slow.send("GET /fine HT");
    BOOST_TEST(statusOf(slow.readToEnd().value_or("")) == 408);
    RawClient idle(ServerEndpoint);
    idle.send(get("/fine"));
    BOOST_TEST(idle.readToEnd().has_value());
    BOOST_TEST(handled == 2);
}
