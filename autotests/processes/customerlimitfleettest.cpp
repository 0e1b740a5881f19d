// The limit of a customer on real processes: four nodes, under more calls than the limit at all of them.

#include "adapters/http/httpclient.h"
#include "adapters/http/sleep.h"
#include "cli/calltrace.h"
#include "fleet.h"
#include "platform/callheadernames.h"
#include "platformfleet.h"
#include "sampledocument.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

using namespace Galenahill;

namespace {

constexpr double Rate = 40;
constexpr double Burst = 20;
constexpr std::size_t Nodes = 4;
constexpr Milliseconds CallInterval{20};

std::string argument(int index)
{
    const auto &suite = boost::unit_test::framework::master_test_suite();
    BOOST_REQUIRE_MESSAGE(suite.argc > index, "give the build folder and the sources after --");
    return suite.argv[index];
}

struct Fixture
{
    PlatformFleet fleet{{.programs = argument(1),
        .sources = argument(2),
        .folder = argument(1) + "/customerlimit",
        .network = static_cast<std::uint8_t>(Fleet::defaultNetwork() + 14),
        .nodes = Nodes,
        .services = {"ventas"},
        .slots = 8,
        .serviceTime = std::chrono::milliseconds(2)}};
    std::vector<TimePoint> ran;
    std::vector<double> retryAfter;
    std::string deniedId;
    std::size_t otherResponses = 0;
    int nextId = 0;

    Fixture()
    {
        const SampleRoute route{.name = "cola", .service = "ventas", .timeoutSeconds = 3};
        auto document = nlohmann::json::parse(sampleDocument(argument(2), 1, "pedidos.example", {route}));
        document["tenants"] = {{{"name", "tienda"}, {"api-keys", {"k1"}}, {"rate-per-s", Rate}, {"burst", Burst}}};
        const auto started = fleet.start(document.dump());
        BOOST_REQUIRE_MESSAGE(started.has_value(), started.error().message);
    }

    asio::awaitable<void> call(HttpClient &client, std::size_t node)
    {
        const auto id = fmt::format("call-{}", nextId++);
        HttpRequest request(http::verb::get, "/cola/1", 11);
        request.set(http::field::host, "pedidos.example");
        request.set(http::field::authorization, "Bearer k1");
        request.set(Platform::callHeaderNames().requestId, id);
        request.set(Platform::callHeaderNames().timeoutMs, "3000");
        const auto response = co_await client.exchange(fleet.ingress(node), std::move(request), Clock::now() + Milliseconds(3000));
        const auto status = response ? response->result_int() : 0;
        if (status == 200) {
            ran.push_back(Clock::now());
        } else if (status == 429) {
            retryAfter.push_back(std::stod(std::string((*response)[http::field::retry_after])));
            deniedId = node == 0 ? id : deniedId;
        } else {
            ++otherResponses;
        }
    }

    asio::awaitable<void> send(asio::io_context &context, HttpClient &client, std::size_t node, TimePoint until)
    {
        while (Clock::now() < until) {
            asio::co_spawn(context, call(client, node), asio::detached);
            co_await sleepFor(context, CallInterval);
        }
    }

    // Sends 50 calls a second to each of the nodes from the given one on.
    void load(std::size_t firstNode, Milliseconds time)
    {
        asio::io_context context(1);
        HttpClient client(context, {});
        for (std::size_t node = firstNode; node < Nodes; ++node) {
            asio::co_spawn(context, send(context, client, node, Clock::now() + time), asio::detached);
        }
        context.run();
    }

    std::size_t mostInFiveSeconds() const
    {
        std::size_t first = 0;
        std::size_t most = 0;
        for (std::size_t last = 0; last < ran.size(); ++last) {
            while (ran[last] - ran[first] > std::chrono::seconds(5)) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    std::string explain(const std::string &id) const
    {
        CallTrace trace(id);
        std::ifstream log(fleet.nodeLog(0));
        trace.read(log);
        return trace.table();
    }
};

}

// Guards against limits that each node applies for itself, against a limit that is not used up, and against
// an explanation that does not answer why a call got 429; then against the death of a node, which may be the
// grantor.
BOOST_FIXTURE_TEST_CASE(LimitHoldsForAllNodesTogether, Fixture)
{
    load(0, std::chrono::seconds(8));
    const auto calls = ran.size();
    BOOST_TEST_MESSAGE(calls << " calls ran, " << retryAfter.size() << " were over the limit, " << otherResponses << " ended otherwise");
    BOOST_TEST(calls >= 0.95 * Rate * 7);
    BOOST_TEST(!retryAfter.empty());
    BOOST_TEST(*std::max_element(retryAfter.begin(), retryAfter.end()) <= 1.0);
    const auto table = explain(deniedId);
    BOOST_TEST(table.find("status=429") != std::string::npos, table);
    BOOST_TEST(table.find("customer limit: tienda") != std::string::npos, table);
    fleet.nodeProcess(0).signal(SIGKILL);
    load(1, std::chrono::seconds(12));
    BOOST_TEST_MESSAGE(ran.size() - calls << " calls ran after the kill");
    BOOST_TEST(mostInFiveSeconds() <= (Rate * 5 + Burst) * 1.1 + 20);
    // For up to 5 s, until the membership declares the member gone, calls depend on the reserves.
    BOOST_TEST(ran.size() - calls >= 0.4 * Rate * 12);
}
