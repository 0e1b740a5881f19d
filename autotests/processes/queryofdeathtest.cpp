// Requests that end the targets which run them, with real processes. Checks the records that the targets wrote.

#include "adapters/http/blockinghttpclient.h"
#include "cli/nodeconnection.h"
#include "fleet.h"
#include "loadgenerator.h"
#include "platform/callheadernames.h"
#include "platformfleet.h"
#include "sampledocument.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <thread>

using namespace Galenahill;

namespace {

constexpr const char *Host = "pedidos.example";
constexpr std::size_t Nodes = 8;
constexpr Milliseconds StartLimit{15000};
constexpr Milliseconds CallTimeout{2500};

// No request may end more targets, however its caller repeats it.
constexpr std::size_t MaxEndedTargets = 3;

// Bound for a caller that waits for each response before it repeats the request.
constexpr std::size_t MaxEndedInSequence = 2;

std::string argument(int index)
{
    const auto &suite = boost::unit_test::framework::master_test_suite();
    BOOST_REQUIRE_MESSAGE(suite.argc > index, "give the build folder and the sources after --");
    return suite.argv[index];
}

struct Fixture
{
    Fixture()
        : fleet({.programs = argument(1),
            .sources = argument(2),
            .folder = argument(1) + "/queryofdeath",
            .network = static_cast<std::uint8_t>(Fleet::defaultNetwork() + 14),
            .nodes = Nodes,
            .services = {"ventas"},
            .fatalMarker = "fatal"})
    {
        const std::vector<SampleRoute> routes = {{.name = "cola", .service = "ventas"}, {.name = "orden", .service = "ventas", .idempotent = false}};
        const auto started = fleet.start(sampleDocument(argument(2), 1, Host, routes));
        BOOST_REQUIRE_MESSAGE(started.has_value(), started.error().message);
        waitUntilServed();
    }

    // Ordinary calls to all nodes, all with the same content.
    std::vector<CallRecord> call(double rate, std::size_t calls)
    {
        LoadGenerator::Options load;
        for (std::size_t node = 0; node < Nodes; ++node) {
            load.ingresses.push_back(fleet.ingress(node));
        }
        load.kinds = {{.method = "GET", .path = "/cola/1"}};
        load.rate = rate;
        load.calls = calls;
        load.timeout = CallTimeout;
        load.idPrefix = fmt::format("load-{}", ++runs);
        load.headerNames = Platform::callHeaderNames();
        load.host = Host;
        return LoadGenerator(load).run();
    }

    void waitUntilServed()
    {
        const auto until = Clock::now() + StartLimit;
        bool served = false;
        while (!served && Clock::now() < until) {
            const auto records = call(40, 40);
            served = std::all_of(records.begin(), records.end(), [](const auto &record) { return record.outcome == CallOutcome::Answered; });
        }
        BOOST_REQUIRE_MESSAGE(served, "no round of calls was answered completely within the time limit");
    }

    // Sends a request with an id of its own, as callers do when they repeat a request.
    Result<HttpResponse> send(std::size_t node, const std::string &path, Milliseconds timeout = CallTimeout, http::verb method = http::verb::get)
    {
        const auto names = Platform::callHeaderNames();
        HttpRequest request(method, path, 11);
        request.set(http::field::host, Host);
        request.set(names.requestId, fmt::format("fatal-{}", ++attempts));
        request.set(names.timeoutMs, std::to_string(timeout.count()));
        request.prepare_payload();
        return blockingExchange(fleet.ingress(node), std::move(request), timeout);
    }

    // Sends the request through several nodes at once.
    void sendAtOnce(const std::vector<std::size_t> &nodes, const std::string &path)
    {
        std::vector<std::thread> callers;
        callers.reserve(nodes.size());
        for (const auto node : nodes) {
            callers.emplace_back([=, this] { (void)send(node, path); });
        }
        std::for_each(callers.begin(), callers.end(), [](auto &caller) { caller.join(); });
    }

    std::size_t endedTargets() const
    {
        const auto histories = fleet.targetHistories();
        return static_cast<std::size_t>(std::count_if(histories.begin(), histories.end(), [](const auto &history) { return !history.fatalCalls.empty(); }));
    }

    // Number of times that a fatal request arrived at a target.
    std::size_t fatalArrivals() const
    {
        std::size_t count = 0;
        for (const auto &history : fleet.targetHistories()) {
            count += static_cast<std::size_t>(
                std::count_if(history.arrivals.begin(), history.arrivals.end(), [](const auto &arrival) { return arrival.value.starts_with("fatal-"); }));
        }
        return count;
    }

    void startEndedTargets()
    {
        for (std::size_t node = 0; node < Nodes; ++node) {
            if (!fleet.targetProcess(node).running()) {
                fleet.startTarget(node);
            }
        }
    }

    PlatformFleet fleet;
    int runs = 0;
    std::atomic<int> attempts = 0;
};

}

// Guards against a caller's repeats that carry a fatal request from target to target until the service is down.
BOOST_FIXTURE_TEST_CASE(RepeatsOfAFatalRequestEndTwoTargets, Fixture)
{
    for (const auto *path : {"/cola/fatal-exit?n=1", "/cola/fatal-abort"}) {
        const auto before = endedTargets();
        const auto arrivalsBefore = fatalArrivals();
        for (std::size_t i = 0; i < 12; ++i) {
            const auto response = send(i % Nodes, path);
            BOOST_REQUIRE(response.has_value());
            BOOST_TEST(response->result_int() >= 502U);
        }
        BOOST_TEST(endedTargets() - before <= MaxEndedInSequence);
        BOOST_TEST(fatalArrivals() - arrivalsBefore <= MaxEndedInSequence);
    }
    waitUntilServed();
}

// Guards against a rejection that invites the caller to repeat a request that no target will get.
BOOST_FIXTURE_TEST_CASE(RejectsAFatalRequestWithoutRetryAfter, Fixture)
{
    for (std::size_t i = 0; i < 4; ++i) {
        (void)send(i, "/cola/fatal-exit");
    }
    const auto response = send(4, "/cola/fatal-exit");
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->result_int() == 503U);
    BOOST_TEST(response->count(http::field::retry_after) == 0U);
}

// Guards against a non-idempotent request whose caller repeats it, with a new id, at one target after the other.
BOOST_FIXTURE_TEST_CASE(RepeatsOfAFatalOrderEndTwoTargets, Fixture)
{
    for (std::size_t i = 0; i < 12; ++i) {
        (void)send(i % Nodes, "/orden/fatal-exit", CallTimeout, http::verb::post);
    }
    BOOST_TEST(endedTargets() <= MaxEndedInSequence);
    BOOST_TEST(fatalArrivals() <= MaxEndedInSequence);
}

// Guards against impatient callers that send copies at once through many nodes, each to another target.
BOOST_FIXTURE_TEST_CASE(CopiesAtOnceEndAtMostThreeTargets, Fixture)
{
    (void)send(0, "/cola/fatal-exit");
    for (std::size_t wave = 0; wave < 6; ++wave) {
        sendAtOnce({wave % Nodes, (wave + 2) % Nodes, (wave + 4) % Nodes, (wave + 6) % Nodes}, "/cola/fatal-exit");
    }
    BOOST_TEST(endedTargets() <= MaxEndedTargets);
    BOOST_TEST(fatalArrivals() <= MaxEndedTargets);
}

// Guards against a request that hangs its target until a watchdog ends it, while callers with a short deadline
// repeat it.
BOOST_FIXTURE_TEST_CASE(HangingRequestEndsAtMostThreeTargets, Fixture)
{
    for (std::size_t i = 0; i < 12; ++i) {
        (void)send(i % Nodes, "/cola/fatal-hang", Milliseconds(700));
    }
    BOOST_TEST(endedTargets() <= MaxEndedTargets);
}

// Guards against nodes of galenahilld, whose targets don't announce themselves, that carry a fatal request on.
BOOST_AUTO_TEST_CASE(NodesOfGalenahilldEndTwoTargets)
{
    constexpr std::size_t FleetNodes = 6;
    Galenahill::Fleet fleet({.programs = argument(1),
        .folder = argument(1) + "/queryofdeathini",
        .network = static_cast<std::uint8_t>(Fleet::defaultNetwork() + 15),
        .nodes = FleetNodes,
        .dataCentres = {"rosario-a"},
        .services = {{.name = "ventas", .slots = 6, .serviceMicroseconds = 20000}},
        .fatalMarker = "fatal"});
    BOOST_REQUIRE(fleet.start().has_value());
    NodeConnection connection(fleet.control(0));
    const auto apply = [&](const char *file, const char *text) {
        const auto applied = connection.call("apply", {{"apply", std::string("a-") + file}, {"file", file}, {"text", text}, {"operator", "test"}});
        BOOST_REQUIRE_MESSAGE(applied.has_value(), applied.error().message);
        const auto revision = applied->at("revision").get<std::uint64_t>();
        const auto inForce = [&](const nlohmann::json &status) { return status.value("revision", std::uint64_t(0)) >= revision; };
        BOOST_REQUIRE(fleet.waitForAll(inForce, StartLimit).has_value());
    };
    apply("services.ini", "[service ventas]\ndata-centres = rosario-a\nslots = 6\nconnections = 120\n");
    apply("routes.ini", "[route cola]\npath = /cola\nmethods = GET\nservice = ventas\nidempotent = yes\nretries = 2\ntimeout-ms = 1500\n");
    const auto send = [&](std::size_t node, const std::string &path) {
        HttpRequest request(http::verb::get, path, 11);
        request.set(http::field::host, "h");
        return blockingExchange(fleet.ingress(node), std::move(request), CallTimeout);
    };
    const auto until = Clock::now() + StartLimit;
    for (std::size_t node = 0; node < FleetNodes;) {
        const auto response = send(node, "/cola/1");
        node += response && response->result() == http::status::ok ? 1 : 0;
        BOOST_REQUIRE(Clock::now() < until);
    }
    for (std::size_t i = 0; i < 2 * FleetNodes; ++i) {
        (void)send(i % FleetNodes, "/cola/fatal-exit");
    }
    std::size_t ended = 0;
    for (std::size_t node = 0; node < FleetNodes; ++node) {
        ended += fleet.targetProcess(node)->running() ? 0 : 1;
    }
    BOOST_TEST(ended <= MaxEndedInSequence);
}

// Guards against restarted nodes and targets that don't know which requests are quarantined.
BOOST_FIXTURE_TEST_CASE(QuarantineOutlivesRestarts, Fixture)
{
    for (std::size_t i = 0; i < 4; ++i) {
        (void)send(i, "/cola/fatal-exit");
    }
    const auto arrivals = fatalArrivals();
    startEndedTargets();
    for (const std::size_t node : {1U, 2U, 3U}) {
        fleet.nodeProcess(node).signal(SIGKILL);
        fleet.nodeProcess(node).wait();
        fleet.startNode(node);
    }
    BOOST_REQUIRE(fleet.waitUntilReady(StartLimit));
    waitUntilServed();
    for (std::size_t i = 0; i < 2 * Nodes; ++i) {
        (void)send(i % Nodes, "/cola/fatal-exit");
    }
    BOOST_TEST(fatalArrivals() == arrivals);
}

// Guards against the quarantine of ordinary calls that were running when targets crashed.
BOOST_FIXTURE_TEST_CASE(CrashedTargetsQuarantineNoOrdinaryCall, Fixture)
{
    std::vector<CallRecord> records;
    std::thread callers([&] { records = call(200, 1600); });
    for (std::size_t crash = 0; crash < 6; ++crash) {
        std::this_thread::sleep_for(Milliseconds(1000));
        fleet.targetProcess(crash).signal(SIGKILL);
        fleet.targetProcess(crash).wait();
        fleet.startTarget(crash);
    }
    callers.join();
    const auto answered = std::count_if(records.begin(), records.end(), [](const auto &record) { return record.outcome == CallOutcome::Answered; });
    BOOST_TEST(answered >= static_cast<std::ptrdiff_t>(records.size() * 95 / 100));
    waitUntilServed();
}
