// Planned stops of galenahilld while requests arrive, with real processes.

#include "cli/nodeconnection.h"
#include "fleet.h"
#include "httptest.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

using namespace Galenahill;

namespace {

constexpr Milliseconds ReadyLimit{15000};
constexpr const char *Configuration = "[service tablero]\ndata-centres = rosario-a\nslots = 6\nconnections = 120\n"
                                      "[route pedidos]\npath = /tablero\nmethods = POST\nservice = tablero\nidempotent = no\ntimeout-ms = 4000\n";

std::string programs()
{
    const auto &suite = boost::unit_test::framework::master_test_suite();
    BOOST_REQUIRE_MESSAGE(suite.argc > 1, "give the build folder after --");
    return suite.argv[1];
}

std::string requestHeader(std::size_t bodyBytes)
{
    return "POST /tablero/pedidos HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

struct Fixture
{
    Fleet fleet{{.programs = programs(),
        .folder = programs() + "/nodestop",
        .network = static_cast<std::uint8_t>(Fleet::defaultNetwork() + 15),
        .nodes = 2,
        .dataCentres = {"rosario-a"},
        .services = {{.name = "tablero", .slots = 6, .serviceMicroseconds = 20000, .backlog = 100}},
        .settings = {}}};

    Fixture()
    {
        const auto started = fleet.start();
        BOOST_REQUIRE_MESSAGE(started, started.error().message);
        const auto result
            = NodeConnection(fleet.control(0)).call("apply", {{"apply", "stop-1"}, {"file", "all.ini"}, {"text", Configuration}, {"operator", "test"}});
        BOOST_REQUIRE_MESSAGE(result, result.error().message);
        const auto until = Clock::now() + ReadyLimit;
        while (statusLine(0).find("200") == std::string::npos) {
            BOOST_REQUIRE(Clock::now() < until);
        }
    }

    // Sends a call with a short body, and returns the first line of its response.
    std::string statusLine(std::size_t node) const
    {
        RawClient caller(fleet.ingress(node));
        caller.send(requestHeader(1) + "x");
        return caller.readTo("\r\n");
    }
};

}

// Guards against a stop that cuts a request whose body still arrives: the handler has not got it yet.
BOOST_FIXTURE_TEST_CASE(StopWaitsForABodyThatArrives, Fixture)
{
    constexpr int Pieces = 4;
    constexpr Milliseconds Pause{600};
    RawClient caller(fleet.ingress(0));
    caller.send(requestHeader(Pieces));
    std::this_thread::sleep_for(Pause);
    fleet.nodeProcess(0)->signal(SIGTERM);
    for (int i = 0; i < Pieces; ++i) {
        std::this_thread::sleep_for(Pause);
        caller.send("x");
    }
    BOOST_TEST(caller.readTo("\r\n").find("200 OK") != std::string::npos);
    BOOST_TEST(fleet.nodeProcess(0)->wait() == 0);
}

// Guards against a log that doesn't tell what a connection carried that ended in a stop.
BOOST_FIXTURE_TEST_CASE(StopLogsTheEndsOfConnections, Fixture)
{
    RawClient caller(fleet.ingress(0));
    caller.send(requestHeader(1) + "x");
    BOOST_TEST(caller.readTo("\r\n").find("200 OK") != std::string::npos);
    fleet.nodeProcess(0)->signal(SIGTERM);
    BOOST_TEST(fleet.nodeProcess(0)->wait() == 0);
    std::ifstream file(programs() + "/nodestop/rosario-a-0.log");
    const std::string log(std::istreambuf_iterator<char>(file), {});
    BOOST_TEST(log.find(R"("event":"connection-ended","server":"ingress")") != std::string::npos);
    BOOST_TEST(log.find(R"("event":"connections-left-open","server":"ingress","count":0)") != std::string::npos);
}
