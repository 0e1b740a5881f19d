#include "daemon/callmessages.h"
#include "daemon/ingress.h"
#include "httptest.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const std::string Address = testAddress(9);
const Endpoint IngressEndpoint{Address, 8080};
const Endpoint SlowEndpoint{Address, 8081};
const Endpoint OtherEndpoint{Address, 8082};

MemberRecord member(const std::string &name, const Endpoint &sidecar)
{
    MemberRecord record;
    record.name = NodeName(name);
    record.dataCentre = DataCentre("rosario-a");
    record.service = ServiceName("tablero");
    record.address = sidecar.address;
    record.sidecarPort = sidecar.port;
    record.state = MemberState::Ready;
    return record;
}

// An ingress before two sidecars that the test plays itself: one whose target
// is slow, or silent, and one that has room or hasn't. A route with a timeout
// of 1.2 s, so that an attempt has taken long after 600 ms.
struct Fixture
{
    static constexpr Milliseconds SlowTime{800};
    // Of two idle targets each gets about every other call.
    static constexpr int MaxCalls = 50;

    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard = asio::make_work_guard(context);
    HttpClient client{context, {}};
    std::atomic<bool> slow = false;
    std::atomic<bool> otherHasRoom = true;
    std::atomic<int> cut = 0;
    std::atomic<int> slowCalls = 0;
    std::atomic<int> otherCalls = 0;
    Ingress ingress{{.client = client,
        .node = NodeName("n"),
        .dataCentre = DataCentre("rosario-a"),
        .callEnded = [](const RouteDefinition &, CallEnd, std::chrono::microseconds) {}}};
    HttpServer ingressServer{context, {.endpoint = IngressEndpoint, .handler = [this](HttpRequest request, ServerConnection &connection) {
                                           return ingress.handle(std::move(request), connection);
                                       }}};
    HttpServer slowServer{
        context, {.endpoint = SlowEndpoint, .handler = [this](HttpRequest, ServerConnection &connection) { return serveSlowly(connection); }}};
    HttpServer otherServer{context, {.endpoint = OtherEndpoint, .handler = [this](HttpRequest, ServerConnection &) { return serveOther(); }}};
    std::thread thread;

    Fixture()
    {
        setMembers({member("slow", SlowEndpoint)});
        for (auto *server : {&ingressServer, &slowServer, &otherServer}) {
            BOOST_REQUIRE(server->listen().has_value());
        }
        thread = std::thread([this] { context.run(); });
        // What a usual call takes has to be known before one can take long.
        BOOST_REQUIRE(call().find("200 OK") != std::string::npos);
        slow = true;
        slowCalls = 0;
    }

    ~Fixture()
    {
        context.stop();
        thread.join();
    }

    void setMembers(const std::vector<MemberRecord> &members)
    {
        const std::vector<ConfigFile> files = {{FileName("all.ini"),
            "[service tablero]\ndata-centres = rosario-a\nslots = 9\nconnections = 120\n"
            "[route cola]\npath = /cola\nmethods = GET\nservice = tablero\nidempotent = yes\nretries = 1\nmax-targets = 2\ntimeout-ms = 1200\n"}};
        const auto snapshot = ConfigSnapshot::validate(files);
        BOOST_REQUIRE_MESSAGE(snapshot.has_value(), snapshot.error().message);
        auto revision = std::make_shared<ConfigRevision>();
        revision->snapshot = *snapshot;
        const auto view = RoutingView::build(revision, members);
        if (!thread.joinable()) {
            ingress.setView(view);
            return;
        }
        onDataThread([&] { ingress.setView(view); });
    }

    void onDataThread(const std::function<void()> &function)
    {
        std::promise<void> done;
        asio::post(context, [&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    asio::awaitable<HttpResponse> serveSlowly(ServerConnection &connection)
    {
        ++slowCalls;
        asio::steady_timer timer(context);
        const auto end = Clock::now() + (slow ? SlowTime : Milliseconds(0));
        while (Clock::now() < end && !connection.cancellation().cancelled()) {
            timer.expires_after(Milliseconds(5));
            co_await timer.async_wait(asio::use_awaitable);
        }
        cut += connection.cancellation().cancelled() ? 1 : 0;
        co_return makeResponse(http::status::ok, "text/plain", "slow;");
    }

    asio::awaitable<HttpResponse> serveOther()
    {
        ++otherCalls;
        if (!otherHasRoom) {
            auto refused = notRunResponse(http::status::service_unavailable, "refused", "full");
            refused.set(CallHeaders::Load, formatLoad({9, 9}));
            co_return refused;
        }
        co_return makeResponse(http::status::ok, "text/plain", "other;");
    }

    // The ingress learns that the other sidecar has no room left: it is offered
    // calls while it is the only one.
    void fillOther()
    {
        otherHasRoom = false;
        setMembers({member("other", OtherEndpoint)});
        BOOST_REQUIRE(call().find("503") != std::string::npos);
        setMembers({member("slow", SlowEndpoint), member("other", OtherEndpoint)});
    }

    // Whether the slow target's work was given up, of which it learns a little
    // later than the caller gets the other's answer.
    bool cutSoon() const
    {
        const auto end = Clock::now() + Patience;
        while (cut == 0 && Clock::now() < end) {
            std::this_thread::sleep_for(Milliseconds(5));
        }
        return cut == 1;
    }

    // Sends a call, and gives its answer up to the end of the body.
    static std::string call()
    {
        RawCaller caller(IngressEndpoint);
        caller.send("GET /cola/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        return caller.readToEnd().value_or("");
    }
};

}

BOOST_FIXTURE_TEST_SUITE(patience, Fixture)

// A target is slow, and no other has room. The ingress used to give the attempt
// up after half of the time all the same; its caller got an error while the
// answer was on its way, and the target's work was lost. It goes on waiting.
BOOST_AUTO_TEST_CASE(WaitsOnWhereNoOtherTargetHasRoom)
{
    fillOther();
    const auto answer = call();
    BOOST_TEST(answer.find("200 OK") != std::string::npos);
    BOOST_TEST(answer.find("slow;") != std::string::npos);
    BOOST_TEST(cut == 0);
}

// A target is slow, and another one has room: the attempt is given up there and
// made good here, in less time than the slow one needs.
BOOST_AUTO_TEST_CASE(RepeatsWhereAnotherTargetHasRoom)
{
    setMembers({member("slow", SlowEndpoint), member("other", OtherEndpoint)});
    for (int i = 0; i < MaxCalls && slowCalls == 0; ++i) {
        BOOST_TEST(call().find("other;") != std::string::npos);
    }
    BOOST_TEST(slowCalls == 1);
    BOOST_TEST(cutSoon());
}

// The node is stopping while a target is slow. A repeat that fails would leave
// the caller with an error of the node's own in place of an answer that was
// under way, so running attempts are left alone though another has room.
BOOST_AUTO_TEST_CASE(AStoppingNodeGivesNoAttemptUp)
{
    setMembers({member("slow", SlowEndpoint), member("other", OtherEndpoint)});
    onDataThread([this] { ingress.stop(); });
    for (int i = 0; i < MaxCalls && slowCalls == 0; ++i) {
        BOOST_TEST(call().find("200 OK") != std::string::npos);
    }
    BOOST_TEST(slowCalls == 1);
    BOOST_TEST(cut == 0);
}

BOOST_AUTO_TEST_SUITE_END()
