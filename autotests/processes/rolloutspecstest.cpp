// Specs of rollouts in a store that other programs write to, or whose watches stall, with real processes. Every node has to
// learn of a spec, either from the store or from an evaluator.

#include "adapters/http/blockinghttpclient.h"
#include "fleet.h"
#include "platformfleet.h"
#include "sampledocument.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <thread>

using namespace Galenahill;

namespace {

constexpr const char *Service = "tablero";
constexpr std::size_t Nodes = 4;
constexpr std::size_t DataCentres = 2;

constexpr Milliseconds SpecLimit{7000};
constexpr Milliseconds SettleTime{4000};
constexpr Milliseconds PollInterval{50};
constexpr Milliseconds StoreTimeout{1000};

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
            .folder = argument(1) + "/rolloutspecs",
            .network = static_cast<std::uint8_t>(Fleet::defaultNetwork() + 19),
            .nodes = Nodes,
            .services = {Service},
            .dataCentres = DataCentres})
    {
        const auto started = fleet.start(sampleDocument(argument(2), 1, "pedidos.example", {{.name = Service, .service = Service}}));
        BOOST_REQUIRE_MESSAGE(started.has_value(), started.error().message);
        std::this_thread::sleep_for(SettleTime);
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

    void createRollout(const std::string &name, const nlohmann::json &spec) const
    {
        sendToStore("/objects/rollouts", {{"metadata", {{"name", name}}}, {"spec", spec}});
    }

    std::size_t nodesThatFollow() const
    {
        std::size_t count = 0;
        for (std::size_t node = 0; node < Nodes; ++node) {
            std::ifstream file(fleet.nodeLog(node));
            const std::string text{std::istreambuf_iterator<char>(file), {}};
            count += text.find(R"("event":"rollout-stage")") == std::string::npos ? 0 : 1;
        }
        return count;
    }

    // Orders a rollout, and checks that all nodes follow it in time.
    void checkRollout() const
    {
        createRollout(Service, {{"service", Service}, {"target-version", "v2"}, {"duration-s", 30}});
        const auto until = Clock::now() + SpecLimit;
        while (nodesThatFollow() < Nodes && Clock::now() < until) {
            std::this_thread::sleep_for(PollInterval);
        }
        BOOST_TEST(nodesThatFollow() == Nodes);
    }

    PlatformFleet fleet;
};

}

// Guards against an entry of another writer, with a brace in its name, that ends the watch of the specs.
BOOST_FIXTURE_TEST_CASE(SpecIsFollowedAfterAForeignEntry, Fixture)
{
    createRollout("{service}", {{"note", "none"}});
    std::this_thread::sleep_for(SettleTime);
    checkRollout();
}

// Guards against watches of the specs that the store leaves without a response while it accepts changes.
BOOST_FIXTURE_TEST_CASE(SpecIsFollowedWhileWatchesStall, Fixture)
{
    sendToStore("/admin/fault", {{"mode", "stall-watches"}});
    std::this_thread::sleep_for(SettleTime);
    checkRollout();
}
