// Entries of the store that another program left and that can't be read, with real processes. The nodes have to go on, to follow
// all other entries, and to start beside them.

#include "adapters/http/blockinghttpclient.h"
#include "fleet.h"
#include "platform/storenames.h"
#include "platformfleet.h"
#include "sampledocument.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>
#include <thread>

using namespace Galenahill;
namespace Names = Platform::StoreNames;

namespace {

constexpr const char *Host = "pedidos.example";
constexpr const char *Service = "tablero";
constexpr std::size_t Nodes = 4;
constexpr std::size_t Depth = 100000;
constexpr std::size_t Calls = 24;

constexpr Milliseconds StartLimit{20000};
constexpr Milliseconds SettleTime{3000};
constexpr Milliseconds PollInterval{50};
constexpr Milliseconds CallTimeout{1500};
constexpr Milliseconds ChangeLimit{7000};

std::string argument(int index)
{
    const auto &suite = boost::unit_test::framework::master_test_suite();
    BOOST_REQUIRE_MESSAGE(suite.argc > index, "give the build folder and the sources after --");
    return suite.argv[index];
}

std::string nested()
{
    return std::string(Depth, '[') + std::string(Depth, ']');
}

// The content of an entry of each kind, with one more field.
std::string contentWith(const std::string &field)
{
    return fmt::format(R"({{"name":"x","data-centre":"rosario-a","service":"{0}","address":"127.0.0.9","ingress-port":8080,"sidecar-port":8081,)"
                       R"("control-port":8084,"incarnation":1,"version":"r9","target-version":"v2","duration-s":1,{1}}})",
        Service,
        field);
}

struct OddEntry
{
    std::string name;
    std::string metadata;
    std::string content;
    std::string status;

    std::string text() const
    {
        return fmt::format(R"({{"{}":{{"{}":"!{}","{}":7{}}},"{}":{},"{}":{}}})",
            Names::Metadata,
            Names::Name,
            name,
            Names::ObjectRevision,
            metadata,
            Names::Content,
            content,
            Names::Status,
            status);
    }
};

const std::vector<OddEntry> DeepEntries = {
    {.name = "deep-status", .content = "{}", .status = nested()},
    {.name = "deep-content", .content = contentWith("\"more\":" + nested()), .status = "null"},
    {.name = "deep-metadata", .metadata = ",\"more\":" + nested(), .content = "{}", .status = "null"},
};

const std::vector<OddEntry> EntriesWithLargeNumbers = {
    {.name = "large-number", .content = contentWith("\"more\":1e999"), .status = "null"},
    {.name = "large-number-in-status", .content = "{}", .status = "1e999"},
    {.name = "large-number-in-metadata", .metadata = ",\"more\":1e999", .content = "{}", .status = "null"},
    {.name = "large-port", .content = contentWith("\"sidecar-port\":70000"), .status = "null"},
    {.name = "fractional-port", .content = contentWith("\"sidecar-port\":1e30"), .status = "null"},
};

struct Fixture
{
    Fixture()
        : fleet({.programs = argument(1),
            .sources = argument(2),
            .folder = argument(1) + "/oddentries",
            .network = static_cast<std::uint8_t>(Fleet::defaultNetwork() + 20),
            .nodes = Nodes,
            .services = {"portal", Service}})
    {
        const auto started = fleet.start(document(1));
        BOOST_REQUIRE_MESSAGE(started.has_value(), started.error().message);
        std::this_thread::sleep_for(SettleTime);
    }

    static std::string document(int revision)
    {
        return sampleDocument(
            argument(2), revision, Host, {{.name = "tablero", .service = Service}, {.name = fmt::format("r{}", revision), .service = Service}});
    }

    Result<HttpResponse> call(std::size_t node, const std::string &path) const
    {
        HttpRequest request(http::verb::get, path, 11);
        request.set(http::field::host, Host);
        return blockingExchange(fleet.ingress(node), std::move(request), CallTimeout);
    }

    void addOddEntry(const std::string &kind, const OddEntry &entry) const
    {
        HttpRequest request(http::verb::post, fmt::format("/admin/raw?kind={}&name=!{}", kind, entry.name), 11);
        request.set(http::field::host, "store");
        request.body() = entry.text();
        const auto response = blockingExchange(fleet.store(), std::move(request), CallTimeout);
        BOOST_REQUIRE(response.has_value());
    }

    std::size_t runningNodes()
    {
        std::size_t count = 0;
        for (std::size_t node = 0; node < Nodes; ++node) {
            count += fleet.nodeProcess(node).running() ? 1 : 0;
        }
        return count;
    }

    std::size_t servedCalls() const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < Calls; ++i) {
            const auto response = call(i % Nodes, "/tablero/x");
            count += response && response->result() == http::status::ok ? 1 : 0;
        }
        return count;
    }

    // Number of nodes that serve the revision's own route within the time limit of a change.
    std::size_t nodesThatServe(int revision) const
    {
        const auto until = Clock::now() + ChangeLimit;
        std::size_t count = 0;
        while (count < Nodes && Clock::now() < until) {
            std::this_thread::sleep_for(PollInterval);
            count = 0;
            for (std::size_t node = 0; node < Nodes; ++node) {
                const auto response = call(node, fmt::format("/r{}/x", revision));
                count += response && response->result() == http::status::ok ? 1 : 0;
            }
        }
        return count;
    }

    void restartNodes()
    {
        for (std::size_t node = 0; node < Nodes; ++node) {
            fleet.nodeProcess(node).signal(SIGKILL);
            fleet.nodeProcess(node).wait();
        }
        for (std::size_t node = 0; node < Nodes; ++node) {
            fleet.startNode(node);
        }
        fleet.waitUntilReady(StartLimit);
        std::this_thread::sleep_for(SettleTime);
    }

    PlatformFleet fleet;
};

const auto Kinds = boost::unit_test::data::make({"contacts", "config", "rollouts"});

void checkEntries(const std::string &kind, const std::vector<OddEntry> &entries)
{
    Fixture fixture;
    BOOST_REQUIRE(fixture.servedCalls() == Calls);
    for (const auto &entry : entries) {
        fixture.addOddEntry(kind, entry);
    }
    std::this_thread::sleep_for(SettleTime);
    BOOST_TEST(fixture.runningNodes() == Nodes);
    BOOST_REQUIRE(fixture.fleet.configure(Fixture::document(2)).has_value());
    BOOST_TEST(fixture.nodesThatServe(2) == Nodes);
    fixture.restartNodes();
    BOOST_TEST(fixture.runningNodes() == Nodes);
    BOOST_TEST(fixture.servedCalls() == Calls);
    BOOST_REQUIRE(fixture.fleet.configure(Fixture::document(3)).has_value());
    BOOST_TEST(fixture.nodesThatServe(3) == Nodes);
}

}

// Guards against an entry of another program that ends nodes, hides the other entries of its kind, or keeps nodes from starting.
BOOST_DATA_TEST_CASE(DeepEntriesEndNoNodeAndHideNoOther, Kinds, kind)
{
    checkEntries(kind, DeepEntries);
}

// The same with numbers that no type holds, and with ports that are none.
BOOST_DATA_TEST_CASE(LargeNumbersEndNoNodeAndHideNoOther, Kinds, kind)
{
    checkEntries(kind, EntriesWithLargeNumbers);
}
