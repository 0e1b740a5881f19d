#include "daemon/calls/callmessages.h"
#include "daemon/calls/customerlimits.h"
#include "daemon/calls/ingress.h"
#include "httptest.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const std::string Address = testAddress(14);
const Endpoint IngressEndpoint{Address, 8080};
const Endpoint SidecarEndpoint{Address, 8081};

// An ingress whose customer may run 1 call/s with bursts of 1, which with the slack are 13 calls, and a
// sidecar that runs calls or refuses them. The node is the only member of its fleet.
struct Fixture
{
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard = asio::make_work_guard(context);
    HttpClient client{context, {}};
    bool refuses = false;
    std::string reason;
    CustomerLimits limits;
    CallHeaderNames headerNames;
    std::unique_ptr<Ingress> ingress;
    HttpServer ingressServer{context, {.endpoint = IngressEndpoint, .handler = [this](HttpRequest request, ServerConnection &connection) {
                                           return ingress->handle(std::move(request), connection);
                                       }}};
    HttpServer sidecar{context, {.endpoint = SidecarEndpoint, .handler = [this](HttpRequest, ServerConnection &) { return serve(); }}};
    std::thread thread;

    explicit Fixture(bool firstStart = true)
        : limits({.context = context,
            .self = {.name = NodeName("n"), .address = Address, .controlPort = 7000},
            .firstStart = firstStart,
            .log = [](LogLevel, std::string_view, const std::vector<LogField> &) {},
            .send = [](const Endpoint &, const LeaseMessage &) {}})
    {
        headerNames.requestId = "X-Id";
        headerNames.parentOf = [](std::string_view id) { return id.find('.') == id.npos ? std::string_view() : id.substr(0, id.find('.')); };
        ingress = std::make_unique<Ingress>(Ingress::Options{.client = client,
            .node = NodeName("n"),
            .dataCentre = DataCentre("rosario-a"),
            .headerNames = headerNames,
            .runningCall =
                [](std::string_view) {
                    return std::optional(RunningCall{RouteName("precio"), 0});
                },
            .acquireToken = [this](const CustomerName &customer) { return limits.acquire(customer); },
            .releaseToken = [this](const CustomerName &customer, const TokenDecision &granted) { limits.release(customer, granted); },
            .callEnded = [](const RouteDefinition &, CallResult, std::chrono::microseconds) {},
            .callReported = [this](const CallReport &report) { reason = report.reason; }});
        BOOST_REQUIRE(sidecar.listen().has_value());
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
        ConfigDefinitions definitions;
        definitions.requiresKeys = true;
        definitions.services = {{.name = ServiceName("ventas"), .dataCentres = {DataCentre("rosario-a")}, .slots = 9, .connections = 120}};
        definitions.routes = {{.name = RouteName("precio"),
            .path = "/",
            .service = ServiceName("ventas"),
            .type = CallType::Idempotent,
            .timeout = Milliseconds(600),
            .maxTargets = 1}};
        definitions.customers = {{.name = CustomerName("tienda"), .keys = {KeyDigest("k1")}, .limit = {1, 1}}};
        const auto snapshot = ConfigSnapshot::assemble(std::move(definitions));
        BOOST_REQUIRE_MESSAGE(snapshot.has_value(), snapshot.error().message);
        auto revision = std::make_shared<ConfigRevision>();
        revision->snapshot = *snapshot;
        revision->bundle.manifest.revision = Revision(3);
        MemberRecord member{.name = NodeName("s"), .dataCentre = DataCentre("rosario-a"), .service = ServiceName("ventas"), .address = Address};
        member.sidecarPort = SidecarEndpoint.port;
        member.state = MemberState::Ready;
        limits.setConfig(revision);
        ingress->setView(RoutingView::build(revision, {member}));
    }

    asio::awaitable<HttpResponse> serve()
    {
        co_return refuses ? notRunResponse(http::status::service_unavailable, "refused", "no slot") : makeResponse(http::status::ok, "text/plain", "");
    }

    std::string call(const std::string &fields = "Authorization: Bearer k1\r\nX-Id: a\r\n")
    {
        RawClient caller(IngressEndpoint);
        caller.send("GET / HTTP/1.1\r\nHost: h\r\n" + fields + "Connection: close\r\n\r\n");
        return caller.readToEnd().value_or("");
    }

    int ran(int calls)
    {
        int count = 0;
        for (int made = 0; made < calls; ++made) {
            count += call().find(" 200 ") != std::string::npos ? 1 : 0;
        }
        return count;
    }
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

}

// Guards against a limit that is not applied, a retry time beyond what callers honour (a third of the
// 600 ms that they have), and a log that does not tell the cause.
BOOST_AUTO_TEST_CASE(CallsOverTheLimitAreRejectedWithTheCause)
{
    Fixture fixture;
    const auto ran = fixture.ran(30);
    BOOST_TEST(ran >= 13);
    BOOST_TEST(ran <= 15);
    const auto response = fixture.call();
    BOOST_TEST(contains(response, " 429 "));
    const auto field = response.find("Retry-After: ");
    BOOST_REQUIRE(field != std::string::npos);
    BOOST_TEST(std::stod(response.substr(field + 13)) <= 0.2);
    BOOST_TEST(contains(fixture.reason, "customer limit: tienda"), fixture.reason);
}

// Guards against a customer whose tokens are spent on calls that nobody ran.
BOOST_AUTO_TEST_CASE(CallsThatDoNotRunReturnTheirTokens)
{
    Fixture fixture;
    fixture.refuses = true;
    for (int made = 0; made < 30; ++made) {
        BOOST_TEST(contains(fixture.call(), " 503 "));
    }
    fixture.refuses = false;
    BOOST_TEST(fixture.ran(12) == 12);
}

// Guards against nested calls that fail because their parent call took the last token.
BOOST_AUTO_TEST_CASE(NestedCallsTakeNoToken)
{
    Fixture fixture;
    fixture.ran(20);
    BOOST_TEST(contains(fixture.call("X-Id: parent.1\r\n"), " 200 "));
}

// Guards against a burst that each node grants while it has not seen the others yet, at its own start.
BOOST_AUTO_TEST_CASE(NodeWithoutOtherMembersGrantsNothing)
{
    Fixture fixture(false);
    const auto begin = Clock::now();
    BOOST_TEST(contains(fixture.call(), " 429 "));
    BOOST_TEST((Clock::now() - begin < Milliseconds(200)));
}
