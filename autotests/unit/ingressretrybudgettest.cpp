#include "core/calls/retrybudget.h"
#include "daemon/calls/callmessages.h"
#include "daemon/calls/ingress.h"
#include "httptest.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const std::string Address = testAddress(10);
const Endpoint IngressEndpoint{Address, 8080};
const std::vector<Endpoint> Sidecars = {{Address, 8081}, {Address, 8082}};

// An ingress with two sidecars, both of which fail the calls to /fails. The local target is running a
// call that is a retry, and may be the parent of the calls.
struct Fixture
{
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard = asio::make_work_guard(context);
    HttpClient client{context, {}};
    std::atomic<int> runs = 0;
    CallHeaderNames headerNames;
    std::unique_ptr<Ingress> ingress;
    HttpServer ingressServer{context, {.endpoint = IngressEndpoint, .handler = [this](HttpRequest request, ServerConnection &connection) {
                                           return ingress->handle(std::move(request), connection);
                                       }}};
    std::vector<std::unique_ptr<HttpServer>> sidecars;
    std::thread thread;

    Fixture()
    {
        headerNames.requestId = "X-Id";
        headerNames.notExecuted = "X-Not-Executed";
        headerNames.parentOf = [](std::string_view id) { return id.find('.') == id.npos ? std::string_view() : id.substr(0, id.find('.')); };
        ingress = std::make_unique<Ingress>(Ingress::Options{.client = client,
            .node = NodeName("n"),
            .dataCentre = DataCentre("rosario-a"),
            .headerNames = headerNames,
            .retryBudget = {.retriesPerCall = 0, .slack = 1},
            .runningCall =
                [](std::string_view) {
                    return std::optional(RunningCall{RouteName("cola"), 0, true});
                },
            .callEnded = [](const RouteDefinition &, CallResult, std::chrono::microseconds) {}});
        for (const auto &endpoint : Sidecars) {
            sidecars.push_back(std::make_unique<HttpServer>(context,
                HttpServer::Options{.endpoint = endpoint, .handler = [this](HttpRequest request, ServerConnection &) { return serve(std::move(request)); }}));
            BOOST_REQUIRE(sidecars.back()->listen().has_value());
        }
        BOOST_REQUIRE(ingressServer.listen().has_value());
        setView();
        thread = std::thread([this] { context.run(); });
    }

    ~Fixture()
    {
        context.stop();
        thread.join();
    }

    void setView()
    {
        const auto snapshot = ConfigSnapshot::validate({{FileName("all.ini"),
            "[service ventas]\ndata-centres = rosario-a\nslots = 9\nconnections = 120\n"
            "[route precio]\npath = /\nmethods = GET\nservice = ventas\nidempotent = yes\nretries = 1\nmax-targets = 2\ntimeout-ms = 1200\n"}});
        BOOST_REQUIRE_MESSAGE(snapshot.has_value(), snapshot.error().message);
        auto revision = std::make_shared<ConfigRevision>();
        revision->snapshot = *snapshot;
        std::vector<MemberRecord> members;
        for (const auto &endpoint : Sidecars) {
            MemberRecord member;
            member.name = NodeName("s" + std::to_string(endpoint.port));
            member.dataCentre = DataCentre("rosario-a");
            member.service = ServiceName("ventas");
            member.address = endpoint.address;
            member.sidecarPort = endpoint.port;
            member.state = MemberState::Ready;
            members.push_back(member);
        }
        ingress->setView(RoutingView::build(revision, members));
    }

    asio::awaitable<HttpResponse> serve(HttpRequest request)
    {
        ++runs;
        if (request.target() == "/busy") {
            auto response = makeResponse(http::status::ok, "text/plain", "");
            response.set(CallHeaders::Load, "20/9");
            response.set(CallHeaders::WaitMs, "5000");
            co_return response;
        }
        const bool fails = request.target() == "/fails";
        co_return makeResponse(fails ? http::status::internal_server_error : http::status::ok, "text/plain", "");
    }

    int runsOf(const std::string &path, const std::string &id)
    {
        runs = 0;
        RawClient caller(IngressEndpoint);
        caller.send("GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\nConnection: close\r\n\r\n");
        BOOST_REQUIRE(caller.readToEnd().has_value());
        return runs;
    }
};

}

BOOST_FIXTURE_TEST_SUITE(ingressretrybudget, Fixture)

BOOST_AUTO_TEST_CASE(RetriesAFailedCallWithinTheBudget)
{
    BOOST_TEST(runsOf("/fails", "a") == 2);
    BOOST_TEST(runsOf("/fails", "b") == 1);
}

// Guards against a service that gets more retries than its budget through nested calls of retried
// calls.
BOOST_AUTO_TEST_CASE(NestedCallsOfARetryCountAsRetries)
{
    BOOST_TEST(runsOf("/works", "parent.1") == 1);
    BOOST_TEST(runsOf("/fails", "b") == 1);
}

// Both sidecars report a wait of five seconds; the route's calls have 1.2 s. Guards against calls that are
// offered to one sidecar after the other only to be rejected.
BOOST_AUTO_TEST_CASE(RejectsAtOnceWhatCannotBeAnsweredInTime)
{
    int sent = 0;
    while (ingress->callsWithoutTime() == 0 && sent < 100) {
        runsOf("/busy", "a");
        ++sent;
    }
    BOOST_TEST(sent > 2);
    BOOST_TEST(ingress->callsWithoutTime() == 1U);
    BOOST_TEST(runs == 0);
    // Reports are forgotten, and calls are tried again.
    std::this_thread::sleep_for(Milliseconds(600));
    BOOST_TEST(runsOf("/busy", "a") == 1);
}

// Guards against returning callers that are not recognised, and against first attempts that are.
BOOST_AUTO_TEST_CASE(RecognisesACallerThatReturns)
{
    const auto callWith = [](int timeoutMs) {
        RawClient caller(IngressEndpoint);
        caller.send("GET /works HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nGalenahill-Timeout-Ms: " + std::to_string(timeoutMs) + "\r\nConnection: close\r\n\r\n");
        BOOST_REQUIRE(caller.readToEnd().has_value());
    };
    for (int i = 0; i < 30; ++i) {
        callWith(1000);
    }
    BOOST_TEST(ingress->returnedCalls() == 0U);
    callWith(800);
    BOOST_TEST(ingress->returnedCalls() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(TermsHeaderStatesWhetherACallIsARetry)
{
    const CallTerms terms{.priority = 1, .mayWait = false, .isRetry = true};
    HttpRequest request;
    request.set(CallHeaders::Terms, formatTerms(terms));
    BOOST_TEST((termsHeader(request) == terms));
}

// Guards against terms of an older node, without the last part, that are not understood, and against terms
// that an older node does not understand: without a previous wait they are the same as before.
BOOST_AUTO_TEST_CASE(TermsHeaderStatesThePreviousWait)
{
    CallTerms terms{.priority = 2, .objectiveLeft = Milliseconds(700), .waitLeft = Milliseconds(150)};
    BOOST_TEST(formatTerms(terms) == "2;700;wait;;150;");
    HttpRequest request;
    request.set(CallHeaders::Terms, formatTerms(terms));
    BOOST_TEST((termsHeader(request) == terms));
    terms.waitedBefore = Milliseconds(300);
    request.set(CallHeaders::Terms, formatTerms(terms));
    BOOST_TEST((termsHeader(request) == terms));
    request.set(CallHeaders::Terms, "2;700;wait;;150;repeat;x");
    BOOST_TEST(termsHeader(request).isRetry);
    BOOST_TEST(termsHeader(request).waitedBefore.count() == 0);
}

// Guards against a wait for a slot that counts as service time, and against a negative one.
BOOST_AUTO_TEST_CASE(QueuedHeaderStatesTheWaitForASlot)
{
    HttpResponse response;
    BOOST_TEST(queuedHeader(response).count() == 0);
    response.set(CallHeaders::QueuedMs, "230");
    BOOST_TEST(queuedHeader(response).count() == 230);
    for (const auto *text : {"-5", "x", "12x"}) {
        response.set(CallHeaders::QueuedMs, text);
        BOOST_TEST(queuedHeader(response).count() == 0);
    }
}
