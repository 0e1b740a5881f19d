// Changes of the configuration while the store serves the nodes badly, with real processes. Each node has to serve a change
// soon after the store acknowledged it, as long as any node can read the store.

#include "adapters/http/blockinghttpclient.h"
#include "faultproxy.h"
#include "fleet.h"
#include "platformfleet.h"
#include "sampledocument.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <thread>

using namespace Galenahill;

namespace {

constexpr const char *Host = "pedidos.example";
constexpr std::size_t Nodes = 12;
constexpr std::size_t DataCentres = 2;

// A change has two seconds to be in force, and five more while the store is impaired.
constexpr Milliseconds ChangeLimit{7000};
constexpr Milliseconds SettleTime{6000};
constexpr Milliseconds PollInterval{20};
constexpr Milliseconds StoreTimeout{1000};

std::string argument(int index)
{
    const auto &suite = boost::unit_test::framework::master_test_suite();
    BOOST_REQUIRE_MESSAGE(suite.argc > index, "give the build folder and the sources after --");
    return suite.argv[index];
}

// Twelve nodes in two data centres, eight of which watch the store. Each has a proxy of its own before the store.
struct Fixture
{
    Fixture()
        : fleet({.programs = argument(1),
            .sources = argument(2),
            .folder = argument(1) + "/configurationchange",
            .network = static_cast<std::uint8_t>(Fleet::defaultNetwork() + 17),
            .nodes = Nodes,
            .services = {"tablero"},
            .dataCentres = DataCentres,
            .storeAddressPerNode = true})
    {
        for (std::size_t node = 0; node < Nodes; ++node) {
            proxies.push_back(std::make_unique<FaultProxy>(fleet.storeForNode(node), fleet.store()));
        }
        const auto started = fleet.start(document(1));
        BOOST_REQUIRE_MESSAGE(started.has_value(), started.error().message);
        std::this_thread::sleep_for(SettleTime);
    }

    // Each revision has a route that no other one has.
    static std::string document(int revision)
    {
        return sampleDocument(
            argument(2), revision, Host, {{.name = "tablero", .service = "tablero"}, {.name = fmt::format("r{}", revision), .service = "tablero"}});
    }

    bool serves(std::size_t node, int revision) const
    {
        HttpRequest request(http::verb::get, fmt::format("/r{}/x", revision), 11);
        request.set(http::field::host, Host);
        const auto response = blockingExchange(fleet.ingress(node), std::move(request), StoreTimeout);
        return response && response->result() != http::status::not_found;
    }

    // Writes the revision, and checks that all nodes serve it in time.
    void checkChange(int revision)
    {
        BOOST_REQUIRE(fleet.configure(document(revision)).has_value());
        const auto acknowledged = Clock::now();
        const auto until = acknowledged + ChangeLimit;
        std::size_t behind = Nodes;
        while (behind > 0 && Clock::now() < until) {
            std::this_thread::sleep_for(PollInterval);
            behind = 0;
            for (std::size_t node = 0; node < Nodes; ++node) {
                behind += serves(node, revision) ? 0 : 1;
            }
        }
        BOOST_TEST(behind == 0U);
        BOOST_TEST_MESSAGE(
            fmt::format("revision {} in force after {} ms", revision, std::chrono::duration_cast<Milliseconds>(Clock::now() - acknowledged).count()));
    }

    void sendToStore(const std::string &path, const nlohmann::json &body) const
    {
        HttpRequest request(http::verb::post, path, 11);
        request.set(http::field::host, "store");
        request.body() = body.dump();
        const auto response = blockingExchange(fleet.store(), std::move(request), StoreTimeout);
        BOOST_REQUIRE(response.has_value());
        BOOST_REQUIRE(response->result() == http::status::ok);
    }

    // The store responds to these nodes with the status, or not at all if that is zero.
    void reject(const std::vector<std::size_t> &nodes, unsigned status) const
    {
        auto hosts = nlohmann::json::array();
        for (const auto node : nodes) {
            hosts.push_back(toString(fleet.storeForNode(node)));
        }
        sendToStore("/admin/reject", {{"hosts", hosts}, {"status", status}});
    }

    void checkChangeWithoutWatchers(unsigned status)
    {
        const auto rejected = fleet.watchers();
        BOOST_REQUIRE(!rejected.empty());
        BOOST_REQUIRE(rejected.size() < Nodes);
        reject(rejected, status);
        std::this_thread::sleep_for(SettleTime);
        checkChange(2);
        checkChange(3);
        reject({}, 0);
        checkChange(4);
    }

    PlatformFleet fleet;
    std::vector<std::unique_ptr<FaultProxy>> proxies;
};

}

// Guards against watches that the store leaves without a response while it accepts changes.
BOOST_FIXTURE_TEST_CASE(ChangeComesIntoForceWhileWatchesStall, Fixture)
{
    sendToStore("/admin/fault", {{"mode", "stall-watches"}});
    checkChange(2);
    checkChange(3);
}

// Guards against connections to the store that are open and silent for good.
BOOST_FIXTURE_TEST_CASE(ChangeComesIntoForceAfterConnectionsWentSilent, Fixture)
{
    for (const auto &proxy : proxies) {
        proxy->setMode(FaultProxy::Mode::SilenceOpen);
    }
    std::this_thread::sleep_for(SettleTime);
    checkChange(2);
    checkChange(3);
}

// Guards against a fleet whose watchers the store rejects while it serves the other nodes.
BOOST_FIXTURE_TEST_CASE(ChangeComesIntoForceWhileTheStoreRejectsTheWatchers, Fixture)
{
    checkChangeWithoutWatchers(503);
}

BOOST_FIXTURE_TEST_CASE(ChangeComesIntoForceWhileTheStoreLimitsTheWatchers, Fixture)
{
    checkChangeWithoutWatchers(429);
}

BOOST_FIXTURE_TEST_CASE(ChangeComesIntoForceWhileTheStoreIsSilentToTheWatchers, Fixture)
{
    checkChangeWithoutWatchers(0);
}

// Guards against a role that moves to members which the store rejects in their turn.
BOOST_FIXTURE_TEST_CASE(ChangeComesIntoForceWhileTheStoreRejectsWatchersInTurn, Fixture)
{
    for (int revision = 2; revision < 6; ++revision) {
        reject(fleet.watchers(), 503);
        std::this_thread::sleep_for(Milliseconds(1500));
        checkChange(revision);
    }
}

// Guards against an object of the same kind that can't be read and hides the configuration.
BOOST_FIXTURE_TEST_CASE(ChangeComesIntoForceBesideAnUnreadableObject, Fixture)
{
    for (const auto *content : {"\"text\"", "7", "null", "[1]"}) {
        sendToStore(
            "/objects/config", nlohmann::json::parse(fmt::format(R"({{"metadata":{{"name":"other-{}"}},"spec":{}}})", std::string(content).size(), content)));
    }
    checkChange(2);
    fleet.nodeProcess(0).signal(SIGKILL);
    fleet.nodeProcess(0).wait();
    fleet.startNode(0);
    BOOST_TEST(fleet.waitUntilReady(SettleTime + ChangeLimit));
    checkChange(3);
}
