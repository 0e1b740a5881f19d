// Decoding of the platform's names and formats. The examples are written by hand from
// the platform's documentation.

#include "core/config/configsnapshot.h"
#include "core/config/platformnodesettings.h"
#include "platform/configuration.h"
#include "platform/heartbeat.h"
#include "platform/rollout.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <random>

using namespace Galenahill;
using Json = nlohmann::json;

namespace {

const char *const Document = R"({"version":"r7",
"services":[{"name":"a","health-check-path":"/h","max-connections":120},{"name":"b"}],
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},
"virtual-hosts":[
 {"host":"one.example","paths":[
  {"name":"r1","path-prefix":"/x/","type":"unsafe","timeout-s":1.2,"target-latency-s":0.6,"priority":1,"service":"b","attempts":2},
  {"name":"r2","path-prefix":"/x/y/","type":"safe","timeout-s":1,"service":"a","attempts":3}]},
 {"host":"two.example","paths":[
  {"name":"r3","path-prefix":"/x/","type":"safe","traffic-split":[{"service":"a","weight":90},{"service":"b","weight":10}]}]}]})";

const char *const Heartbeat = R"({"address":"10.1.0.8:8301","born":1777078383118,
"info":{"service":"a","version":"v1","zone":"z1","concurrency-limit":6},
"status":{"state":"ready","sequence":4,"warmup-remaining-s":1.5}})";

HttpRequest put(const std::string &body, const std::string &path = "/instances/i-1")
{
    HttpRequest request(http::verb::put, path, 11);
    request.body() = body;
    return request;
}

std::shared_ptr<const ConfigSnapshot> snapshotOf(const std::string &document)
{
    auto decoded = Platform::decodeConfiguration(document);
    BOOST_REQUIRE(decoded.has_value());
    const auto snapshot = ConfigSnapshot::assemble(std::move(decoded->definitions));
    BOOST_REQUIRE_MESSAGE(snapshot.has_value(), snapshot.error().message);
    return *snapshot;
}

// The document without that field of the object at `where`.
std::string without(Json document, const Json::json_pointer &where, const std::string &field)
{
    document[where].erase(field);
    return document.dump();
}

}

BOOST_AUTO_TEST_CASE(ReadsAConfigurationDocument)
{
    const auto decoded = Platform::decodeConfiguration(Document);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->revision == Revision(7));
    BOOST_TEST(decoded->definitions.callerLimits.idleTimeout.count() == 15000);
    BOOST_TEST(decoded->definitions.services[0].healthPath == "/h");
    const auto &payment = decoded->definitions.routes[0];
    BOOST_TEST(!payment.idempotent());
    BOOST_TEST(payment.timeout.count() == 1200);
    BOOST_TEST(payment.sloLatency.count() == 600);
    BOOST_TEST(payment.priority == 1U);
    BOOST_TEST(payment.maxTargets == 2U);
    BOOST_TEST(payment.retries == 0U);
    BOOST_TEST(decoded->definitions.routes[1].retries == 2U);
    BOOST_TEST(decoded->definitions.routes[2].split.size() == 2U);
}

namespace {

std::shared_ptr<const ConfigSnapshot> snapshotWith(const Json &customers)
{
    auto document = Json::parse(Document);
    document["tenants"] = customers;
    return snapshotOf(document.dump());
}

// Why a document with these customers is rejected, wherever that is found.
std::string errorWith(const Json &customers)
{
    auto document = Json::parse(Document);
    document["tenants"] = customers;
    auto decoded = Platform::decodeConfiguration(document.dump());
    if (!decoded) {
        return decoded.error().message;
    }
    const auto snapshot = ConfigSnapshot::assemble(std::move(decoded->definitions));
    return snapshot ? std::string() : snapshot.error().message;
}

}

BOOST_AUTO_TEST_CASE(ReadsCustomers)
{
    const auto snapshot = snapshotWith({{{"name", "alondra"}, {"api-keys", {"k1", "k2"}}, {"priority", 1}, {"rate-per-s", 650}, {"burst", 700}},
        {{"name", "benteveo"}, {"api-keys", Json::array()}}});
    BOOST_TEST(snapshot->requiresKeys());
    const auto *customer = snapshot->customerOfKey(KeyDigest("k2"));
    BOOST_REQUIRE(customer != nullptr);
    BOOST_TEST(customer->priority.value() == 1U);
    BOOST_TEST((customer->limit == CustomerLimit{.ratePerSecond = 650, .burst = 700}));
    BOOST_TEST(!snapshot->customer(CustomerName("benteveo"))->limit.limited());
    BOOST_TEST(snapshotWith(Json::array())->requiresKeys());
    BOOST_TEST(!snapshotOf(Document)->requiresKeys());
}

// Another system writes the document, and with a burst of zero no call of the customer could run.
BOOST_AUTO_TEST_CASE(RaisesAMissingBurst)
{
    const auto snapshot = snapshotWith({{{"name", "alondra"}, {"api-keys", {"k1"}}, {"rate-per-s", 5}}});
    BOOST_TEST(snapshot->customers().front().limit.burst == 1);
}

BOOST_AUTO_TEST_CASE(RejectsInvalidCustomersWithoutNamingTheirKeys)
{
    const Json good = {{"name", "alondra"}, {"api-keys", {"s3cr3t"}}};
    const std::vector<Json> documents = {
        {good, {{"name", "benteveo"}, {"api-keys", {"s3cr3t"}}}},
        {good, good},
        {{{"name", "alondra"}, {"api-keys", {"s3cr3t", "s3cr3t"}}}},
        {{{"name", "alondra"}, {"api-keys", {"s3cr3t", ""}}}},
        {{{"name", "alondra"}, {"api-keys", {"s3cr3t x"}}}},
        {{{"name", "alondra"}, {"api-keys", "s3cr3t"}, {"rate-per-s", "s3cr3t"}}},
        {{{"name", "alondra"}, {"api-keys", {"s3cr3t"}}, {"rate-per-s", -1}}},
        {{{"name", "alondra"}, {"api-keys", {"s3cr3t"}}, {"rate-per-s", 1}, {"burst", -1}}},
    };
    for (const auto &customers : documents) {
        const auto error = errorWith(customers);
        BOOST_TEST(error != "", customers.dump());
        BOOST_TEST(error.find("s3cr3t") == std::string::npos, error);
    }
}

// The JSON library quotes what it read before an error, and the error is logged.
BOOST_AUTO_TEST_CASE(ErrorsOfInvalidJsonContainNoKey)
{
    auto document = Json::parse(Document);
    document["tenants"] = {{{"name", "alondra"}, {"api-keys", {"s3cr3t"}}}};
    const auto text = document.dump();
    const auto key = text.find("s3cr3t");
    for (auto length = key; length < key + 12; ++length) {
        const auto decoded = Platform::decodeConfiguration(text.substr(0, length) + "}");
        BOOST_REQUIRE(!decoded.has_value());
        BOOST_TEST(decoded.error().message.find("s3c") == std::string::npos, decoded.error().message);
    }
}

// The host is matched first, then the longest prefix. A prefix ends with a slash, so that
// "/xy/" does not match "/x/".
BOOST_AUTO_TEST_CASE(RoutesByHostAndLongestPrefix)
{
    const auto snapshot = snapshotOf(Document);
    const auto name = [&](const char *host, const char *path) {
        const auto *route = snapshot->route("GET", path, host);
        return route == nullptr ? std::string("none") : route->name.value();
    };
    BOOST_TEST(name("one.example", "/x/1") == "r1");
    BOOST_TEST(name("one.example", "/x/y/1") == "r2");
    BOOST_TEST(name("one.example", "/x/y") == "r1");
    BOOST_TEST(name("one.example", "/x/") == "r1");
    BOOST_TEST(name("one.example", "/x") == "none");
    BOOST_TEST(name("one.example", "/xy/1") == "none");
    BOOST_TEST(name("two.example", "/x/y/1") == "r3");
    BOOST_TEST(name("three.example", "/x/1") == "none");
}

// A document with a missing field or an unknown value is rejected as a whole: the previous
// configuration stays in force.
BOOST_AUTO_TEST_CASE(RejectsAnIncompleteDocument)
{
    const auto document = Json::parse(Document);
    const Json::json_pointer route("/virtual-hosts/0/paths/0");
    for (const auto *field : {"name", "path-prefix", "type", "service"}) {
        BOOST_TEST(!Platform::decodeConfiguration(without(document, route, field)).has_value(), field);
    }
    for (const auto *field : {"version", "services", "virtual-hosts"}) {
        BOOST_TEST(!Platform::decodeConfiguration(without(document, Json::json_pointer(), field)).has_value(), field);
    }
    auto invalid = document;
    invalid[route]["type"] = "maybe";
    BOOST_TEST(!Platform::decodeConfiguration(invalid.dump()).has_value());
    invalid = document;
    invalid["version"] = "7";
    BOOST_TEST(!Platform::decodeConfiguration(invalid.dump()).has_value());
    const std::string text(Document);
    BOOST_TEST(!Platform::decodeConfiguration(text.substr(0, text.size() / 2)).has_value());
}

// The operator adds a route for large bodies. While its type was unknown, nodes rejected
// the whole document and served none of its routes.
BOOST_AUTO_TEST_CASE(ReadsARouteForUploads)
{
    auto document = Json::parse(Document);
    document[Json::json_pointer("/virtual-hosts/0/paths/0/type")] = "upload";
    const auto decoded = Platform::decodeConfiguration(document.dump());
    BOOST_REQUIRE(decoded.has_value());
    const auto &route = decoded->definitions.routes.front();
    BOOST_TEST((route.type == CallType::Upload));
    BOOST_TEST(!route.idempotent());
    BOOST_TEST(route.retries == 0U);
}

// The operator who fixes a rejected document must find the route among some hundred.
BOOST_AUTO_TEST_CASE(NamesTheInvalidRoute)
{
    auto document = Json::parse(Document);
    auto &route = document[Json::json_pointer("/virtual-hosts/0/paths/0")];
    route["type"] = "maybe";
    const auto rejected = Platform::decodeConfiguration(document.dump());
    BOOST_REQUIRE(!rejected.has_value());
    BOOST_TEST(rejected.error().message.find("route " + route["name"].get<std::string>()) != std::string::npos);
    BOOST_TEST(rejected.error().message.find("\"maybe\" is none of safe, unsafe, upload and download") != std::string::npos);
}

// A route names a service that is not in the document.
BOOST_AUTO_TEST_CASE(RejectsARouteOfAnUnknownService)
{
    auto document = Json::parse(Document);
    document["services"].erase(1);
    auto decoded = Platform::decodeConfiguration(document.dump());
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(!ConfigSnapshot::assemble(std::move(decoded->definitions)).has_value());
}

BOOST_AUTO_TEST_CASE(ReadsAHeartbeat)
{
    const auto message = Platform::decodeTargetMessage(put(Heartbeat));
    BOOST_REQUIRE_MESSAGE(message.has_value(), message.error().message);
    const auto &target = std::get<TargetAnnouncement>(*message);
    BOOST_TEST(target.id == "i-1");
    BOOST_TEST(target.startedAt == 1777078383118);
    BOOST_TEST(target.sequence == 4U);
    BOOST_TEST(target.slots == 6U);
    BOOST_TEST(toString(target.address) == "10.1.0.8:8301");
    BOOST_TEST(target.warmUpRemaining.count() == 1500);
    BOOST_TEST(!target.draining);
}

// A heartbeat from another program lacks a field, has one of another type or an unknown
// state. It identifies no target and must not change whether the target gets calls.
BOOST_AUTO_TEST_CASE(RejectsAHeartbeatWithAnInvalidField)
{
    const auto heartbeat = Json::parse(Heartbeat);
    for (const auto &where : {Json::json_pointer(), Json::json_pointer("/info"), Json::json_pointer("/status")}) {
        for (const auto &[field, value] : heartbeat[where].items()) {
            BOOST_TEST(!Platform::decodeTargetMessage(put(without(heartbeat, where, field))).has_value(), field);
            auto mistyped = heartbeat;
            mistyped[where][field] = Json::array({1});
            BOOST_TEST(!Platform::decodeTargetMessage(put(mistyped.dump())).has_value(), field);
        }
    }
    auto invalid = heartbeat;
    invalid["status"]["state"] = "odd";
    BOOST_TEST(!Platform::decodeTargetMessage(put(invalid.dump())).has_value());
    invalid = heartbeat;
    invalid["born"] = 1777078383118.5;
    BOOST_TEST(!Platform::decodeTargetMessage(put(invalid.dump())).has_value());
    BOOST_TEST(!Platform::decodeTargetMessage(put(Heartbeat, "/instances/")).has_value());
    BOOST_TEST(!Platform::decodeTargetMessage(put(Heartbeat, "/other/i-1")).has_value());
}

BOOST_AUTO_TEST_CASE(ReadsATargetsDeparture)
{
    HttpRequest request(http::verb::delete_, "/instances/i-1", 11);
    auto message = Platform::decodeTargetMessage(request);
    BOOST_REQUIRE(message.has_value());
    BOOST_TEST(std::get<TargetDeparture>(*message).id == "i-1");
    BOOST_TEST(!std::get<TargetDeparture>(*message).startedAt.has_value());
    request.body() = R"({"born":1777078383118})";
    message = Platform::decodeTargetMessage(request);
    BOOST_TEST(std::get<TargetDeparture>(*message).startedAt.value() == 1777078383118);
}

BOOST_AUTO_TEST_CASE(ReadsARollout)
{
    StoredDocument document{.name = "a", .content = R"({"service":"a","target-version":"v2","duration-s":12.5})", .version = ObjectVersion(9)};
    document.created = ObjectVersion(4);
    const auto stored = Platform::decodeRollout(document);
    BOOST_REQUIRE(stored.has_value());
    BOOST_TEST(stored->spec.service == ServiceName("a"));
    BOOST_TEST(stored->spec.version == TargetVersion("v2"));
    BOOST_TEST(stored->spec.duration.count() == 12500);
    BOOST_TEST(stored->spec.created == ObjectVersion(4));
    BOOST_TEST(stored->version == ObjectVersion(9));
    BOOST_TEST(!stored->stage);
}

BOOST_AUTO_TEST_CASE(ReadsBackTheStatusOfARollout)
{
    StoredDocument document{.name = "a", .content = R"({"service":"a","target-version":"v2","duration-s":12})"};
    for (const auto stage : {RolloutStage::Running, RolloutStage::Succeeded, RolloutStage::RolledBack}) {
        document.status = Platform::encodeRolloutStatus({.spec = {.version = TargetVersion("v2")}, .stage = stage});
        BOOST_TEST((Platform::decodeRollout(document)->stage == stage));
    }
    // Of an earlier spec, of another program, malformed or empty.
    for (const auto *status : {R"({"state":"succeeded","target-version":"v1"})",
             R"({"state":"paused","target-version":"v2"})",
             R"({"state":7,"target-version":"v2"})",
             R"({"state":"succ)",
             "[]",
             ""}) {
        document.status = status;
        BOOST_TEST(!Platform::decodeRollout(document)->stage);
    }
}

BOOST_AUTO_TEST_CASE(RejectsAnIncompleteRollout)
{
    for (const auto *content : {R"({"target-version":"v2","duration-s":12})",
             R"({"service":"a","duration-s":12})",
             R"({"service":"a","target-version":2,"duration-s":12})",
             R"({"service":"a","target-version":"v2","duration-s":"soon"})",
             R"({"service":"a","target)",
             "[]"}) {
        const auto stored = Platform::decodeRollout({.name = "a", .content = content});
        BOOST_REQUIRE(!stored.has_value());
        BOOST_TEST(stored.error().message.find("rollout a") != std::string::npos);
    }
}

// Guards against a name that is taken for a format string, whose exception would leave the decoder.
BOOST_AUTO_TEST_CASE(RejectsARolloutWithBracesInItsName)
{
    for (const auto *name : {"{service}", "{", "}", "{}{}", "{0:d}"}) {
        const auto stored = Platform::decodeRollout({.name = name, .content = R"({"note": "none"})"});
        BOOST_REQUIRE(!stored);
        BOOST_TEST(stored.error().message.find(name) != std::string::npos);
    }
}

// Corrupted bytes are rejected, and never cause a crash or a partly decoded value.
BOOST_AUTO_TEST_CASE(SurvivesCorruptedBytes)
{
    std::mt19937 random(7);
    constexpr int Rounds = 3000;
    for (int round = 0; round < Rounds; ++round) {
        std::string heartbeat(Heartbeat);
        std::string document(Document);
        std::string rollout(R"({"service":"a","target-version":"v2","duration-s":12.5})");
        std::string status(R"({"state":"succeeded","target-version":"v2"})");
        for (auto *text : {&heartbeat, &document, &rollout, &status}) {
            const auto position = std::uniform_int_distribution<std::size_t>(0, text->size() - 1)(random);
            (*text)[position] = static_cast<char>(std::uniform_int_distribution<int>(0, 255)(random));
        }
        (void)Platform::decodeTargetMessage(put(heartbeat));
        (void)Platform::decodeConfiguration(document);
        StoredDocument stored{.name = "a", .content = rollout};
        stored.status = status;
        (void)Platform::decodeRollout(stored);
    }
}

// A missing or mistyped setting prevents the start with an error that names it.
BOOST_AUTO_TEST_CASE(SettingsNameWhatIsWrong)
{
    const std::string complete = "[node]\nname = n\ndata-centre = z\nservice = a\nfirst-start = true\nstop-timeout-s = 6\n"
                                 "[listen]\ningress = 10.1.0.8:1\nsidecar = 10.1.0.8:2\nregistration = 10.1.0.8:3\nreadiness = 10.1.0.8:4\npeers = 10.1.0.8:5\n"
                                 "[target]\naddress = 10.1.0.8:6\nheartbeat-interval-s = 0.87\n[store]\naddress = 10.200.1.7:8309\n"
                                 "[fleet]\nseeds =\nrepeat-share = 0.2\nrepeat-slack = 60\n";
    const auto settings = PlatformNodeSettings::parse("node.ini", complete);
    BOOST_REQUIRE_MESSAGE(settings.has_value(), settings.error().message);
    BOOST_TEST(settings->heartbeatInterval.count() == 870);
    BOOST_TEST(settings->seeds.empty());
    auto broken = complete;
    broken.replace(broken.find("10.1.0.8:6"), 10, "10.1.0.8");
    broken.erase(broken.find("sidecar = 10.1.0.8:2\n"), 21);
    const auto rejected = PlatformNodeSettings::parse("node.ini", broken);
    BOOST_REQUIRE(!rejected.has_value());
    BOOST_TEST(rejected.error().message.find("[target] address") != std::string::npos);
    BOOST_TEST(rejected.error().message.find("[listen] sidecar: missing") != std::string::npos);
}
