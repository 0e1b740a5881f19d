// Calls through real processes while these die, pause and restart. Checks the counts in the targets'
// ledgers, not times.

#include "cli/nodeconnection.h"
#include "fleet.h"
#include "loadgenerator.h"
#include "reconciliation.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <functional>
#include <nlohmann/json.hpp>
#include <thread>

using namespace Galenahill;

namespace {

constexpr std::size_t Nodes = 4;
constexpr double Rate = 300;
constexpr Milliseconds RunTime{4000};
constexpr Milliseconds ReadyLimit{15000};

// Calls in flight that two targets have slots for, however long this process or a node is not scheduled.
constexpr std::size_t SlotsOfTwoTargets = 12;

constexpr const char *Services = "[service tablero]\ndata-centres = rosario-a\nslots = 6\nconnections = 120\n";

// Timeout of calls to targets that fail, so that retries and late calls happen within a run.
constexpr Milliseconds ShortTimeout{400};

// Timeout of calls that all have to be answered although the machine may not schedule a process for a while.
constexpr Milliseconds LongTimeout{4000};

std::string routes(Milliseconds timeout)
{
    const auto timeoutLine = "timeout-ms = " + std::to_string(timeout.count()) + "\n";
    return "[route lectura]\npath = /tablero\nmethods = GET\nservice = tablero\nidempotent = yes\nretries = 2\n" + timeoutLine
        + "[route pedidos]\npath = /tablero\nmethods = POST\nservice = tablero\nidempotent = no\n" + timeoutLine;
}

std::string programs()
{
    const auto &suite = boost::unit_test::framework::master_test_suite();
    BOOST_REQUIRE_MESSAGE(suite.argc > 1, "give the build folder after --");
    return suite.argv[1];
}

// Four nodes with the routes above in force. All are in one data centre: ingress nodes in another one
// would use their local target only and never be affected by the fault.
struct Fixture
{
    Fixture()
        : fleet({.programs = programs(),
            .folder = programs() + "/callfaults",
            .nodes = Nodes,
            .dataCentres = {"rosario-a"},
            .services = {{.name = "tablero", .slots = 6, .serviceMicroseconds = 20000, .backlog = 100}},
            .settings = {}})
    {
        const auto started = fleet.start();
        BOOST_REQUIRE_MESSAGE(started, started.error().message);
        apply("services.ini", Services);
        apply("routes.ini", routes(ShortTimeout));
        waitForCalls();
    }

    // Waits until all nodes accept calls. A new node rejects calls as not run until it knows that there
    // is no higher revision than its own.
    void waitForCalls()
    {
        const auto limit = Clock::now() + ReadyLimit;
        bool accepted = false;
        while (!accepted && Clock::now() < limit) {
            LoadGenerator::Options options;
            for (std::size_t node = 0; node < Nodes; ++node) {
                options.ingresses.push_back(fleet.ingress(node));
            }
            options.kinds = {{.method = "GET", .path = "/tablero/cola"}};
            options.rate = Rate;
            options.calls = 100;
            options.idPrefix = "first" + std::to_string(++runs);
            const auto records = LoadGenerator(options).run();
            accepted = std::all_of(records.begin(), records.end(), [](const auto &record) { return record.outcome == CallOutcome::Answered; });
        }
        BOOST_REQUIRE_MESSAGE(accepted, "not all nodes accept calls within the time limit");
    }

    void apply(const std::string &name, const std::string &text)
    {
        NodeConnection connection(fleet.control(0));
        const auto id = "faults-" + std::to_string(Clock::now().time_since_epoch().count());
        const auto result = connection.call("apply", {{"apply", id}, {"file", name}, {"text", text}, {"operator", "test"}});
        BOOST_REQUIRE_MESSAGE(result, result.error().message);
        const auto revision = result->at("revision").get<std::uint64_t>();
        const auto inForce = [&](const nlohmann::json &status) { return status.value("revision", std::uint64_t(0)) >= revision; };
        BOOST_REQUIRE(fleet.waitForAll(inForce, ReadyLimit).has_value());
    }

    void waitReady()
    {
        const auto ready = [](const nlohmann::json &status) {
            return status.value("state", "") == "ready" && status.value("accepts_calls", false) && status.value("members", std::size_t(0)) == Nodes;
        };
        BOOST_REQUIRE(fleet.waitForAll(ready, ReadyLimit, Milliseconds(50)).has_value());
    }

    void kill(std::size_t node)
    {
        fleet.nodeProcess(node)->signal(SIGKILL);
        fleet.nodeProcess(node)->wait();
    }

    // Sends reads and orders to these ingress nodes while the fault happens; with a limit, not more at a time.
    std::vector<CallRecord> load(std::vector<std::size_t> ingresses, const std::function<void()> &fault, std::size_t maxInFlight = 0)
    {
        LoadGenerator::Options options;
        for (const auto node : ingresses) {
            options.ingresses.push_back(fleet.ingress(node));
        }
        options.kinds = {{.method = "GET", .path = "/tablero/cola", .idempotent = true}, {.method = "POST", .path = "/tablero/pedidos", .idempotent = false}};
        options.rate = Rate;
        options.calls = static_cast<std::size_t>(Rate * RunTime.count() / 1000);
        options.maxInFlight = maxInFlight;
        options.idPrefix = "run" + std::to_string(++runs);
        std::thread other([&] {
            std::this_thread::sleep_for(RunTime / 4);
            fault();
        });
        auto records = LoadGenerator(options).run();
        other.join();
        return records;
    }

    Reconciliation check(const std::vector<CallRecord> &records)
    {
        const auto result = reconcile(fleet, records);
        BOOST_TEST(result.runTwice == 0U);
        BOOST_TEST(result.mismatched == 0U);
        BOOST_TEST(result.answeredButNotRun == 0U);
        BOOST_TEST(result.refusedButRun == 0U);
        return result;
    }

    // Whether the node's ingress gets all its calls answered once the node states that it accepts calls.
    bool targetWorks(std::size_t node)
    {
        waitReady();
        apply("routes.ini", routes(LongTimeout));
        const auto noFault = [] {};
        const auto records = load({node}, noFault, SlotsOfTwoTargets);
        return check(records).answered == records.size();
    }

    Fleet fleet;
    int runs = 0;
};

std::size_t failedReads(const std::vector<CallRecord> &records)
{
    return static_cast<std::size_t>(
        std::count_if(records.begin(), records.end(), [](const auto &record) { return record.idempotent && record.outcome != CallOutcome::Answered; }));
}

std::size_t brokenConnections(const std::vector<CallRecord> &records)
{
    return static_cast<std::size_t>(
        std::count_if(records.begin(), records.end(), [](const auto &record) { return record.outcome == CallOutcome::Unknown && record.status == 0; }));
}

}

BOOST_FIXTURE_TEST_SUITE(callfaults, Fixture)

// One of four targets accepts calls and never responds. Attempts of reads time out early enough for a
// retry at another target; orders end as "outcome unknown" and do not run again when the target
// resumes.
BOOST_AUTO_TEST_CASE(pausedTarget)
{
    const auto records = load({0, 1, 2, 3}, [this] {
        fleet.targetProcess(0)->signal(SIGSTOP);
        std::this_thread::sleep_for(RunTime / 2);
        fleet.targetProcess(0)->signal(SIGCONT);
    });
    const auto result = check(records);
    BOOST_TEST(failedReads(records) * 100 <= records.size());
    BOOST_TEST(result.unknown * 100 <= records.size() * 2);
}

// A sidecar is paused for longer than the calls' deadline and finds calls in its sockets when it
// resumes. By then their callers have got an unknown outcome, and reads have been retried elsewhere;
// no order may run on two targets.
BOOST_AUTO_TEST_CASE(pausedSidecar)
{
    const auto records = load({1, 2, 3}, [this] {
        fleet.nodeProcess(0)->signal(SIGSTOP);
        std::this_thread::sleep_for(Milliseconds(1500));
        fleet.nodeProcess(0)->signal(SIGCONT);
    });
    check(records);
    BOOST_TEST(failedReads(records) * 100 <= records.size());
}

// A node dies with calls in flight, both as ingress and as sidecar, and restarts while the other nodes'
// pooled connections to it are stale. A call whose connection broke may have run, so orders are not
// retried.
BOOST_AUTO_TEST_CASE(killedNode)
{
    const auto records = load({0, 1, 2, 3}, [this] {
        kill(0);
        fleet.startNode(0);
    });
    check(records);
    BOOST_TEST(targetWorks(0));
}

// Half of the nodes die at once. The targets of the others carry the service, and reads through the
// other nodes do not fail.
BOOST_AUTO_TEST_CASE(halfTheFleetKilled)
{
    const auto fault = [this] {
        kill(0);
        kill(1);
        std::this_thread::sleep_for(RunTime / 4);
        fleet.startNode(0);
        fleet.startNode(1);
    };
    const auto records = load({2, 3}, fault, SlotsOfTwoTargets);
    check(records);
    BOOST_TEST(failedReads(records) * 100 <= records.size());
    BOOST_TEST(targetWorks(1));
}

// Guards against a starting node that states that it accepts calls while its ingress still rejects them.
BOOST_AUTO_TEST_CASE(restartedNode)
{
    kill(1);
    fleet.startNode(1);
    BOOST_TEST(targetWorks(1));
}

// A node is stopped gracefully and restarted under load. No call in flight to its target is interrupted,
// so no call through the other nodes fails.
BOOST_AUTO_TEST_CASE(plannedStops)
{
    const auto records = load({1, 2, 3}, [this] {
        fleet.nodeProcess(0)->signal(SIGTERM);
        BOOST_TEST(fleet.nodeProcess(0)->wait() == 0);
        fleet.startNode(0);
    });
    const auto result = check(records);
    BOOST_TEST(brokenConnections(records) == 0U);
    BOOST_TEST(result.answered == records.size());
}

// Operators apply configuration files while calls are in flight. Each call finishes with the revision
// that it began with.
BOOST_AUTO_TEST_CASE(configurationSwap)
{
    const auto records = load({0, 1, 2, 3}, [this] {
        for (int i = 0; i < 5; ++i) {
            apply("routes.ini", routes(ShortTimeout) + "; change " + std::to_string(i) + "\n");
        }
    });
    BOOST_TEST(check(records).answered == records.size());
}

BOOST_AUTO_TEST_SUITE_END()
