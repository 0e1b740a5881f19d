#include "core/calls/callheaders.h"
#include "core/customers/customercounters.h"
#include "daemon/calls/callmessages.h"
#include "daemon/calls/ingress.h"
#include "httptest.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const std::string Address = testAddress(33);
const Endpoint IngressEndpoint{Address, 8080};
const Endpoint SidecarEndpoint{Address, 8081};

const std::string ConfigText = "[service ventas]\ndata-centres = rosario-a\nslots = 9\nconnections = 120\n"
                               "[route precio]\npath = /\nmethods = GET\nservice = ventas\nidempotent = yes\ntimeout-ms = 1200\n"
                               "[route horario]\npath = /open\nmethods = GET\nservice = ventas\nidempotent = yes\ntimeout-ms = 1200\nanonymous = yes\n"
                               "[customer alondra]\napi-keys = s3cr3t-1, s3cr3t-2\n"
                               "[customer benteveo]\napi-keys = s3cr3t-3\n";

const CustomerName Alondra("alondra");

// An ingress with a sidecar that records the calls that it gets. The local target is running call P.
struct Fixture
{
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard = asio::make_work_guard(context);
    HttpClient client{context, {}};
    CustomerCounters counters;
    std::optional<HttpRequest> sent;
    std::unique_ptr<Ingress> ingress;
    HttpServer ingressServer{context, {.endpoint = IngressEndpoint, .handler = [this](HttpRequest request, ServerConnection &connection) {
                                           return ingress->handle(std::move(request), connection);
                                       }}};
    HttpServer sidecarServer{
        context, {.endpoint = SidecarEndpoint, .handler = [this](HttpRequest request, ServerConnection &) { return serve(std::move(request)); }}};
    std::thread thread;

    explicit Fixture(TimePoint parentsKnownFrom = {})
    {
        CallHeaderNames headerNames;
        headerNames.requestId = "X-Id";
        headerNames.parentOf = [](std::string_view id) { return id.find('.') == id.npos ? std::string_view() : id.substr(0, id.find('.')); };
        ingress = std::make_unique<Ingress>(Ingress::Options{.client = client,
            .node = NodeName("n"),
            .dataCentre = DataCentre("rosario-a"),
            .headerNames = headerNames,
            .runningCall =
                [](std::string_view id) {
                    return id == "P" ? std::optional(RunningCall{.route = RouteName("precio"), .customer = parentCustomer()}) : std::nullopt;
                },
            .parentsKnownFrom = parentsKnownFrom,
            .callEnded = [](const RouteDefinition &, CallResult, std::chrono::microseconds) {},
            .customerCallEnded = [this](const CustomerName &customer, CustomerEvent event) { counters.add(customer, event); }});
        BOOST_REQUIRE(sidecarServer.listen().has_value());
        BOOST_REQUIRE(ingressServer.listen().has_value());
        setView();
        thread = std::thread([this] { context.run(); });
    }

    ~Fixture()
    {
        context.stop();
        thread.join();
    }

    static IdentifiedCustomer parentCustomer()
    {
        return {.name = CustomerName("benteveo"), .keyFingerprint = KeyDigest("s3cr3t-3").fingerprint(), .revision = Revision(4)};
    }

    void setView()
    {
        const auto snapshot = ConfigSnapshot::validate({{FileName("all.ini"), ConfigText}});
        BOOST_REQUIRE_MESSAGE(snapshot.has_value(), snapshot.error().message);
        counters.setConfig(*snapshot);
        auto revision = std::make_shared<ConfigRevision>();
        revision->bundle.manifest.revision = Revision(7);
        revision->snapshot = *snapshot;
        MemberRecord member;
        member.name = NodeName("s");
        member.dataCentre = DataCentre("rosario-a");
        member.service = ServiceName("ventas");
        member.address = SidecarEndpoint.address;
        member.sidecarPort = SidecarEndpoint.port;
        member.state = MemberState::Ready;
        ingress->setView(RoutingView::build(revision, {member}));
    }

    asio::awaitable<HttpResponse> serve(HttpRequest request)
    {
        sent = request;
        if (request.target() == "/revoked") {
            auto response = unauthorizedResponse(CallerIdentity::Status::UnknownKey);
            response.set(CallHeaders::Outcome, CallHeaders::NotRun);
            co_return response;
        }
        co_return makeResponse(request.target() == "/denied" ? http::status::unauthorized : http::status::ok, "text/plain", "");
    }

    // Calls with the given header fields and returns the status.
    std::string statusOf(const std::string &fields, const std::string &path = "/", const std::string &id = "a")
    {
        sent.reset();
        RawClient caller(IngressEndpoint);
        caller.send("GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\nConnection: close\r\n" + fields + "\r\n");
        const auto response = caller.readToEnd();
        BOOST_REQUIRE(response.has_value());
        BOOST_TEST(response->find("s3cr3t") == std::string::npos);
        checkThatNoKeyWasSent();
        return response->substr(response->find(' ') + 1, 3);
    }

    void checkThatNoKeyWasSent() const
    {
        if (!sent) {
            return;
        }
        for (const auto &field : *sent) {
            BOOST_TEST(field.value().find("s3cr3t") == boost::beast::string_view::npos, field.name_string());
        }
    }

    std::string sentCustomer() const
    {
        BOOST_REQUIRE(sent.has_value());
        return std::string((*sent)[CallHeaders::Customer]);
    }

    std::string expectedCustomer(const std::string &name, const std::string &key, std::uint64_t revision) const
    {
        return name + ";" + formatFingerprint(KeyDigest(key).fingerprint()) + ";" + std::to_string(revision);
    }
};

// A node that was restarted beside its running target.
struct RestartedFixture : Fixture
{
    RestartedFixture()
        : Fixture(Clock::now() + std::chrono::hours(1))
    {
    }
};

}

BOOST_FIXTURE_TEST_SUITE(ingressidentify, Fixture)

// A target or another node must not learn the key, and must learn whose call it is.
BOOST_AUTO_TEST_CASE(PassesOnTheCustomerInsteadOfTheKey)
{
    BOOST_TEST(statusOf("Authorization: Bearer s3cr3t-2\r\n") == "200");
    BOOST_TEST(sentCustomer() == expectedCustomer("alondra", "s3cr3t-2", 7));
    BOOST_TEST((counters.report().customers.at(Alondra) == CustomerCounts{.used = 1}));
}

BOOST_AUTO_TEST_CASE(RejectsCallsWithoutAValidKey)
{
    for (const std::string fields : {"",
             "Authorization: Bearer s3cr3t-4\r\n",
             "Authorization: Basic s3cr3t-1\r\n",
             "Authorization: Bearer s3cr3t-1\r\nAuthorization: Bearer s3cr3t-1\r\n"}) {
        BOOST_TEST(statusOf(fields) == "401", fields);
        BOOST_TEST(!sent.has_value());
    }
    BOOST_TEST(counters.report().unidentified == 4U);
    BOOST_TEST((counters.report().customers.at(Alondra) == CustomerCounts()));
}

// Otherwise a caller could use the limit and the priority of any customer.
BOOST_AUTO_TEST_CASE(IgnoresACustomerThatTheCallerNames)
{
    const std::string forged = std::string(CallHeaders::Customer) + ": benteveo;00000000;7\r\n" + CallHeaders::CustomerName + ": benteveo\r\n";
    BOOST_TEST(statusOf(forged) == "401");
    BOOST_TEST(statusOf(forged + "Authorization: Bearer s3cr3t-1\r\n") == "200");
    BOOST_TEST(sentCustomer() == expectedCustomer("alondra", "s3cr3t-1", 7));
    BOOST_TEST(statusOf(forged, "/open") == "200");
    BOOST_TEST(sentCustomer() == "");
}

BOOST_AUTO_TEST_CASE(AnonymousRoutesNeedNoKey)
{
    BOOST_TEST(statusOf("", "/open") == "200");
    BOOST_TEST(sentCustomer() == "");
    BOOST_TEST(statusOf("Authorization: Bearer s3cr3t-4\r\n", "/open") == "200");
    BOOST_TEST(statusOf("Authorization: Bearer s3cr3t-1\r\n", "/open") == "200");
    BOOST_TEST(sentCustomer() == expectedCustomer("alondra", "s3cr3t-1", 7));
}

// An id that looks like that of a nested call proves nothing: any caller may send it.
BOOST_AUTO_TEST_CASE(NestedCallsNeedNoKeyIfTheirParentIsRunning)
{
    BOOST_TEST(statusOf("", "/", "Q.1") == "401");
    BOOST_TEST(statusOf("", "/", "P.1") == "200");
    BOOST_TEST(sentCustomer() == formatCustomer(parentCustomer()));
    BOOST_TEST((counters.report().customers.at(CustomerName("benteveo")) == CustomerCounts()));
}

// The response of a sidecar that knows that the key was revoked counts as unauthorized, and that of a target does not.
BOOST_AUTO_TEST_CASE(TellsARevokedKeyFromATargetsResponse)
{
    BOOST_TEST(statusOf("Authorization: Bearer s3cr3t-1\r\n", "/denied") == "401");
    BOOST_TEST((counters.report().customers.at(Alondra) == CustomerCounts{.used = 1}));
    BOOST_TEST(statusOf("Authorization: Bearer s3cr3t-1\r\n", "/revoked") == "401");
    BOOST_TEST((counters.report().customers.at(Alondra) == CustomerCounts{.used = 1, .unauthorized = 1}));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against 401 for the nested calls of calls that the target was sent before the node was restarted:
// they did not run, and the target may repeat them.
BOOST_FIXTURE_TEST_CASE(ARestartedNodeAsksForUnknownNestedCallsAgain, RestartedFixture)
{
    BOOST_TEST(statusOf("", "/", "Q.1") == "503");
    BOOST_TEST(statusOf("", "/", "Q") == "401");
    BOOST_TEST(statusOf("Authorization: Bearer unknown\r\n", "/", "Q.1") == "401");
    BOOST_TEST(!sent.has_value());
}
