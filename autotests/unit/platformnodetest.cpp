// A whole PlatformNode in one process, with real sockets and a scripted store.

#include "daemon/platformnode.h"
#include "httptest.h"
#include "platform/callheadernames.h"
#include "platform/configuration.h"
#include "platform/heartbeat.h"
#include "scriptedstore.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const std::string Address = testAddress(11);

PlatformNodeSettings settings()
{
    PlatformNodeSettings settings;
    settings.name = NodeName("sidecar-1");
    settings.dataCentre = DataCentre("rosario-a");
    settings.service = ServiceName("ventas");
    settings.ingress = {Address, 8080};
    settings.sidecar = {Address, 8081};
    settings.registration = {Address, 8082};
    settings.readiness = {Address, 8083};
    settings.peers = {Address, 8084};
    settings.target = {Address, 9000};
    settings.store = {Address, 7000};
    return settings;
}

struct Fixture
{
    explicit Fixture(std::deque<Result<DocumentSet>> responses)
        : node(context,
            {.settings = settings(),
                .headerNames = Platform::callHeaderNames(),
                .configKind = Platform::ConfigKind,
                .configName = Platform::ConfigName,
                .decodeConfig = Platform::decodeConfiguration,
                .decodeTarget = Platform::decodeTargetMessage,
                .openStore =
                    [&](HttpClient &) {
                        auto store = std::make_unique<ScriptedStore>(context);
                        store->responses = std::move(responses);
                        return store;
                    },
                .log = [](LogLevel, std::string_view, const std::vector<LogField> &) {}})
    {
        BOOST_REQUIRE(node.start().has_value());
        thread = std::thread([this] { context.run(); });
    }

    ~Fixture()
    {
        context.stop();
        thread.join();
    }

    static std::string get(const Endpoint &endpoint, const std::string &path)
    {
        RawClient caller(endpoint);
        caller.send("GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        return caller.readToEnd().value_or("");
    }

    asio::io_context context{1};
    PlatformNode node;
    std::thread thread;
};

}

// All nodes start before the operator has written the first configuration: the store
// responds that it has none. A node that took this for an empty configuration would
// report to callers that their routes do not exist, and one that crashed would be missing
// when the first configuration comes. The node must report that it is not ready and
// reject calls as not run.
BOOST_AUTO_TEST_CASE(WaitsForTheFirstConfiguration)
{
    Fixture fixture({DocumentSet{{}, ObjectVersion(5)}, DocumentSet{{}, ObjectVersion(5)}});
    // Long enough for the node to read the store and process the response.
    std::this_thread::sleep_for(Milliseconds(500));
    BOOST_TEST(Fixture::get(settings().readiness, "/ready").find("503") != std::string::npos);
    BOOST_TEST(Fixture::get(settings().ingress, "/orders/1").find("503") != std::string::npos);
}
