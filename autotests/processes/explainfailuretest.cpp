// Six kinds of failed call on real processes, each explained from the nodes' logs alone, as an on-call
// engineer has to. The test causes the failure, and the client's explanation of the call must name that
// cause.

#include "adapters/http/httpclient.h"
#include "cli/calltrace.h"
#include "fleet.h"
#include "httptest.h"
#include "platform/callheadernames.h"
#include "platformfleet.h"
#include "sampledocument.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <regex>
#include <thread>

using namespace Galenahill;

namespace {

constexpr Milliseconds Limit{15000};

std::string argument(int index)
{
    const auto &suite = boost::unit_test::framework::master_test_suite();
    BOOST_REQUIRE_MESSAGE(suite.argc > index, "give the build folder and the sources after --");
    return suite.argv[index];
}

const SampleRoute Board{.name = "cola", .service = "ventas", .timeoutSeconds = 5, .objectiveSeconds = 0.3};
const SampleRoute Orders{.name = "orden", .service = "ventas", .idempotent = false, .timeoutSeconds = 5, .objectiveSeconds = 4};
const SampleRoute Exports{.name = "bajada", .service = "ventas", .timeoutSeconds = 2, .objectiveSeconds = 1, .largeResponses = true};

std::string document(int revision, const std::vector<SampleRoute> &routes)
{
    return sampleDocument(argument(2), revision, "pedidos.example", routes);
}

PlatformFleet::Options fleetOptions()
{
    return {.programs = argument(1),
        .sources = argument(2),
        .folder = argument(1) + "/explainfailure",
        .network = static_cast<std::uint8_t>(Fleet::defaultNetwork() + 11),
        .nodes = 1,
        .services = {"ventas"},
        .slots = 1,
        .serviceTime = std::chrono::milliseconds(400)};
}

PlatformFleet::Options slowLinkOptions()
{
    auto options = fleetOptions();
    options.nodes = 2;
    options.services = {"portal", "ventas"};
    options.linkMbps = 1;
    return options;
}

struct FleetFixture
{
    PlatformFleet fleet;

    FleetFixture(PlatformFleet::Options options, const std::vector<SampleRoute> &routes)
        : fleet(std::move(options))
    {
        const auto started = fleet.start(document(1, routes));
        BOOST_REQUIRE_MESSAGE(started.has_value(), started.error().message);
        // A ready node has a configuration, but learns of its target only with the next announcement.
        const auto until = Clock::now() + Limit;
        for (int i = 0; statusOf(callAll({fmt::format("first-{}", i)}, "cola").front()) != 200; ++i) {
            BOOST_REQUIRE(Clock::now() < until);
        }
    }

    static int statusOf(const Result<HttpResponse> &response)
    {
        return response ? static_cast<int>(response->result_int()) : 0;
    }

    // Sends calls of the route with the given ids, all at the same time.
    std::vector<Result<HttpResponse>> callAll(const std::vector<std::string> &ids, const std::string &routeName, const std::string &query = {})
    {
        asio::io_context context(1);
        HttpClient client(context, {});
        const auto headerNames = Platform::callHeaderNames();
        std::vector<Result<HttpResponse>> responses(ids.size());
        const auto send = [&](std::size_t i) -> asio::awaitable<void> {
            HttpRequest request(http::verb::get, "/" + routeName + "/1" + query, 11);
            request.set(http::field::host, "pedidos.example");
            request.set(headerNames.requestId, ids[i]);
            request.set(headerNames.timeoutMs, "5000");
            responses[i] = co_await client.exchange(fleet.ingress(0), std::move(request), Clock::now() + Limit);
        };
        for (std::size_t i = 0; i < ids.size(); ++i) {
            asio::co_spawn(context, send(i), asio::detached);
        }
        context.run();
        return responses;
    }

    // Explanation of the call from the nodes' logs, once these have the call's last event.
    std::string explain(const std::string &id, const std::string &lastEvent) const
    {
        const auto until = Clock::now() + Limit;
        std::string table;
        while (table.find(lastEvent) == std::string::npos && Clock::now() < until) {
            std::this_thread::sleep_for(Milliseconds(50));
            CallTrace trace(id);
            for (std::size_t node = 0; node < fleet.size(); ++node) {
                std::ifstream log(fleet.nodeLog(node));
                trace.read(log);
            }
            table = trace.table();
        }
        return table;
    }
};

// One node whose target has one slot and takes 400 ms for a call.
struct Fixture : FleetFixture
{
    Fixture()
        : FleetFixture(fleetOptions(), {Board, Orders})
    {
    }
};

// The calls enter at the first node and run at the second one, whose link takes 5 s for 600,000 bytes.
struct SlowLinkFixture : FleetFixture
{
    SlowLinkFixture()
        : FleetFixture(slowLinkOptions(), {{.name = "portal", .service = "portal"}, Board, Exports})
    {
    }
};

}

// Four calls at once compete for one slot. Calls that cannot be answered within their objective of
// 300 ms after calls of 400 ms are rejected. The explanation says that all slots were in use, how many
// there are and how long the wait would have been.
BOOST_FIXTURE_TEST_CASE(ExplainsARejectionUnderOverload, Fixture)
{
    const std::vector<std::string> ids = {"over-1", "over-2", "over-3", "over-4"};
    const auto responses = callAll(ids, "cola");
    const auto rejected = std::find_if(responses.begin(), responses.end(), [](const auto &response) { return statusOf(response) == 503; });
    BOOST_REQUIRE(rejected != responses.end());
    const auto table = explain(ids[static_cast<std::size_t>(rejected - responses.begin())], "call-refused");
    BOOST_TEST_MESSAGE(table);
    BOOST_TEST(table.find("sidecar-refused") != std::string::npos);
    BOOST_TEST(table.find("reason=no slot in time") != std::string::npos);
    BOOST_TEST(table.find("running=1 slots=1") != std::string::npos);
    BOOST_TEST(table.find("expected_wait_ms=") != std::string::npos);
}

// The target states a limit of one call in two seconds and has a free slot. Calls beyond the limit are
// rejected with a Retry-After; the explanation names the limit and its age.
BOOST_FIXTURE_TEST_CASE(ExplainsARejectionByARateLimit, Fixture)
{
    BOOST_REQUIRE(fleet.instructTarget(0, R"({"rate_limit": "0.5"})"));
    callAll({"limit-0"}, "cola");
    const auto responses = callAll({"limit-1", "limit-2"}, "cola");
    const auto &rejected = responses[statusOf(responses[0]) == 503 ? 0 : 1];
    BOOST_REQUIRE(statusOf(rejected) == 503);
    BOOST_TEST(rejected->count(http::field::retry_after) == 1U);
    BOOST_TEST(rejected->body().find("was not run") != std::string::npos);
    const auto table = explain(statusOf(responses[0]) == 503 ? "limit-1" : "limit-2", "call-refused");
    BOOST_TEST_MESSAGE(table);
    BOOST_TEST(table.find("reason=the target's rate limit is used up") != std::string::npos);
    BOOST_TEST(table.find("rate_limit=0.5") != std::string::npos);
    BOOST_TEST(table.find("rate_limit_age_ms=") != std::string::npos);
}

// The target is killed while it runs a call that must not be retried. The caller gets 502; the
// explanation says which target had the call, and that it neither timed out nor was cancelled.
BOOST_FIXTURE_TEST_CASE(ExplainsAKilledTarget, Fixture)
{
    std::thread killer([this] {
        std::this_thread::sleep_for(Milliseconds(150));
        fleet.targetProcess(0).signal(SIGKILL);
    });
    const auto responses = callAll({"lost-1"}, "orden");
    killer.join();
    BOOST_TEST(statusOf(responses.front()) == 502);
    const auto table = explain("lost-1", "call-unknown");
    BOOST_TEST_MESSAGE(table);
    BOOST_TEST(table.find("target-gave-no-answer") != std::string::npos);
    BOOST_TEST(table.find("target=t-0-1") != std::string::npos);
    BOOST_TEST(table.find("late=false cancelled=false") != std::string::npos);
    BOOST_TEST(table.find("status=502") != std::string::npos);
}

// The operator removes a route. Its callers get 404; the explanation names the revision without the
// route, and the log has the event by which that revision came into force.
BOOST_FIXTURE_TEST_CASE(ExplainsARemovedRoute, Fixture)
{
    BOOST_REQUIRE(fleet.configure(document(2, {Board})).has_value());
    int status = 200;
    std::string id;
    const auto until = Clock::now() + Limit;
    for (int i = 0; status != 404 && Clock::now() < until; ++i) {
        id = fmt::format("gone-{}", i);
        status = statusOf(callAll({id}, "orden").front());
    }
    BOOST_TEST(status == 404);
    const auto table = explain(id, "no route matches");
    BOOST_TEST_MESSAGE(table);
    BOOST_TEST(table.find("no route matches GET pedidos.example /orden/1") != std::string::npos);
    BOOST_TEST(table.find("revision=2") != std::string::npos);
    std::ifstream log(fleet.nodeLog(0));
    const std::string text(std::istreambuf_iterator<char>(log), {});
    BOOST_TEST(text.find(R"("event":"revision-in-force","revision":2)") != std::string::npos);
}

// Guards against a large response that ends at its deadline without a trace of who ended it, at which byte
// and why.
BOOST_FIXTURE_TEST_CASE(ExplainsAResponseCutAtItsDeadline, SlowLinkFixture)
{
    const auto responses = callAll({"cut-1"}, "bajada", "?bytes=600000");
    BOOST_TEST(!responses.front().has_value());
    // The two nodes log it in either order.
    explain("cut-1", "by the sidecar");
    const auto table = explain("cut-1", "the response ended early at");
    BOOST_TEST_MESSAGE(table);
    std::smatch match;
    const std::regex sentence("the response ended early at (\\S+): ended by the deadline after (\\d+) bytes of 600000 "
                              "\\(the call's deadline has passed\\), (\\d+) ms after the deadline; the link's backlog was \\d+ bytes");
    BOOST_REQUIRE(std::regex_search(table, match, sentence));
    const auto sent = std::stoul(match[2]);
    BOOST_TEST((sent > 0 && sent < 600000));
    // The ingress has passed on what the sidecar has sent.
    BOOST_TEST(table.find(fmt::format("the response ended after {} bytes, by the sidecar", sent)) != std::string::npos);
}

// Guards against a call that its node says it answered, and whose caller did not receive the response, without a trace
// of it. The caller reads nothing, its receive buffer is small, and the node is stopped.
BOOST_FIXTURE_TEST_CASE(ExplainsAnAnsweredCallThatWasNotReceived, Fixture)
{
    RawClient caller(fleet.ingress(0), 2048);
    caller.send("GET /cola/1?bytes=20000 HTTP/1.1\r\nHost: pedidos.example\r\nGalenahill-Request-Id: unread-1\r\n\r\n");
    std::this_thread::sleep_for(Milliseconds(1000));
    fleet.nodeProcess(0).signal(SIGTERM);
    BOOST_TEST(fleet.nodeProcess(0).wait() == 0);
    const auto table = explain("unread-1", "acknowledged");
    BOOST_TEST_MESSAGE(table);
    const std::regex sentence("the connection of 127\\.\\S+ to the ingress \\S+ was open when the process ended: 1 requests read, 1 answered, this call the "
                              "last; [1-9]\\d* bytes sent last were not acknowledged by the peer's kernel");
    BOOST_TEST(std::regex_search(table, sentence));
}
