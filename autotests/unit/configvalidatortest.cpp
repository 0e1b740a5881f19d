#include "core/config/configlimits.h"
#include "core/config/configsnapshot.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <random>
#include <set>

using namespace Galenahill;

namespace {

const std::string Service = "[service ventas]\ndata-centres = rosario-a\nslots = 6\nconnections = 120\n";
const std::string Route = "[route pedidos]\npath = /ventas\nmethods = POST\nservice = ventas\nidempotent = no\ntimeout-ms = 1000\n";

std::string errorsOf(const std::string &text)
{
    const auto snapshot = ConfigSnapshot::validate({{FileName("f.ini"), text}});
    return snapshot ? std::string() : snapshot.error().message;
}

bool rejects(const std::string &text, const std::string &part)
{
    const auto errors = errorsOf(text);
    BOOST_TEST_MESSAGE(errors);
    return errors.find(part) != std::string::npos;
}

}

BOOST_AUTO_TEST_CASE(AcceptsServiceAndRoute)
{
    const auto snapshot = ConfigSnapshot::validate({{FileName("a.ini"), Service}, {FileName("b.ini"), Route}});
    BOOST_REQUIRE(snapshot.has_value());
    BOOST_TEST((*snapshot)->service(ServiceName("ventas"))->slots == 6U);
    BOOST_TEST((*snapshot)->route("POST", "/ventas/7") != nullptr);
    BOOST_TEST((*snapshot)->route("POST", "/ventasx") == nullptr);
    BOOST_TEST((*snapshot)->route("GET", "/ventas") == nullptr);
}

BOOST_AUTO_TEST_CASE(RejectsRouteToUndefinedServiceWithNearestName)
{
    std::string route = Route;
    route.replace(route.find("service = ventas"), 16, "service = venta");
    BOOST_TEST(rejects(Service + route, "f.ini [route pedidos] service = venta: no such service; did you mean \"ventas\"?"));
}

BOOST_AUTO_TEST_CASE(RejectsCommonMistakes)
{
    BOOST_TEST(rejects("", "the file is empty"));
    BOOST_TEST(rejects("; nothing yet\n", "contains only comments"));
    BOOST_TEST(rejects("\xEF\xBB\xBF" + Service, "byte order mark"));
    BOOST_TEST(rejects("[service a]\r\nslots = 1\r\n", "carriage return"));
    BOOST_TEST(rejects(Service + std::string("\0", 1), "binary byte"));
    BOOST_TEST(rejects(Service + Service, "line 5"));
    BOOST_TEST(rejects(Service + "slots = 6\n", "duplicate key"));
    BOOST_TEST(rejects(Service + "slotz = 6\n", "did you mean \"slots\"?"));
    BOOST_TEST(rejects("[servise x]\nslots = 1\n", "did you mean \"service\"?"));
    BOOST_TEST(rejects("[service x]\nslots = 0\ndata-centres = a\n", "give a whole number from 1"));
    BOOST_TEST(rejects("[service x]\nslots = 6\n", "data-centres is missing"));
    BOOST_TEST(rejects("[service x]\n" + Service, "[service x] has no keys"));
    BOOST_TEST(rejects(Service + Route + "retries = 100\n", "retries = 100"));
    BOOST_TEST(rejects(Service + Route + "retries = 1\n", "isn't idempotent is never run again"));
    BOOST_TEST(rejects(Service + Route + "slo-availability = 100\n", "below 100"));
}

BOOST_AUTO_TEST_CASE(RejectsTwoRoutesForOnePathAndMethod)
{
    std::string other = Route;
    other.replace(other.find("pedidos"), 7, "otra");
    BOOST_TEST(rejects(Service + Route + other, "POST is already taken by [route pedidos]"));
}

namespace {

// The example route with the value of one key changed.
std::string routeWith(const std::string &key, const std::string &value)
{
    std::string text = Route;
    const auto begin = text.find(key + " = ") + key.size() + 3;
    return Service + text.replace(begin, text.find('\n', begin) - begin, value);
}

}

BOOST_AUTO_TEST_CASE(RejectsInvalidPaths)
{
    BOOST_TEST(rejects(routeWith("path", "/ventas/"), "remove the slash at the end"));
    for (const std::string path : {"/ventas/*", "/ventas/{id}", "/ventas/:id", "^/ventas", "/ventas$", "/(a|b)", "\"/ventas\""}) {
        BOOST_TEST(rejects(routeWith("path", path), "path = " + path));
    }
    BOOST_TEST(rejects(routeWith("path", "/a/../b"), "without '.' and '..'"));
    BOOST_TEST(rejects(routeWith("path", "/a//b"), "'//'"));
    BOOST_TEST(rejects(routeWith("path", "/a?x=1"), "'?'"));
    BOOST_TEST(rejects(routeWith("path", "http://10.0.0.1/ventas"), "begins with '/'"));
    BOOST_TEST(errorsOf(routeWith("path", "/")).empty());
}

// Operators copy a route for uploads and leave "idempotent = yes" in it; the body would be gone
// when a retry needs it.
BOOST_AUTO_TEST_CASE(UploadsAreNeverRetried)
{
    BOOST_TEST(rejects(Service + Route + "large-bodies = maybe\n", "write yes if calls carry bodies"));
    const std::string reading = "[route lectura]\npath = /lectura\nmethods = PUT\nservice = ventas\nidempotent = yes\ntimeout-ms = 1000\n";
    BOOST_TEST(rejects(Service + reading + "large-bodies = yes\n", "uploads are never run again"));
    const auto accepted = ConfigSnapshot::validate({{FileName("f.ini"), Service + Route + "large-bodies = yes\n"}});
    BOOST_REQUIRE(accepted.has_value());
    BOOST_TEST(((*accepted)->route("POST", "/ventas")->type == CallType::Upload));
}

// A read route that was copied for orders keeps "idempotent = yes". The first lost response would
// run an order twice.
BOOST_AUTO_TEST_CASE(RejectsIdempotentForMethodsThatAreNot)
{
    BOOST_TEST(rejects(routeWith("idempotent", "yes"), "POST calls are never run again"));
    std::string text = routeWith("methods", "GET, PATCH");
    text.replace(text.find("idempotent = no"), 15, "idempotent = yes");
    BOOST_TEST(rejects(text, "PATCH calls are never run again"));
    text.replace(text.find("PATCH"), 5, "PUT");
    BOOST_TEST(errorsOf(text).empty());
}

BOOST_AUTO_TEST_CASE(RejectsObjectivesThatCannotBeMissed)
{
    BOOST_TEST(rejects(Service + Route + "slo-availability = 99\nslo-latency-ms = 2000\n", "above timeout-ms = 1000"));
    BOOST_TEST(rejects(Service + Route + "slo-latency-ms = 20\n", "needs slo-availability"));
}

BOOST_AUTO_TEST_CASE(RejectsListsWithAnItemTwice)
{
    BOOST_TEST(rejects("[service x]\ndata-centres = a, b, a\nslots = 1\n", "a is listed twice"));
    BOOST_TEST(rejects(routeWith("methods", "POST, POST"), "POST is listed twice"));
    BOOST_TEST(rejects("[service x]\ndata-centres = \nslots = 1\n", "is not a valid data centre name"));
}

BOOST_AUTO_TEST_CASE(RejectsDuplicatesAcrossFiles)
{
    const auto both = ConfigSnapshot::validate({{FileName("a.ini"), Service + Route}, {FileName("b.ini"), Service + Route}});
    BOOST_REQUIRE(!both.has_value());
    BOOST_TEST(both.error().message.find("b.ini [service ventas] also defined in a.ini") != std::string::npos);
    BOOST_TEST(both.error().message.find("b.ini [route pedidos] also defined in a.ini") != std::string::npos);
}

// The INI reader drops text after a section header, and a section without keys that another one
// follows. The operator would believe both to be in force.
BOOST_AUTO_TEST_CASE(RejectsTextThatTheReaderWouldDrop)
{
    BOOST_TEST(rejects("[service ventas-2]\n" + Service, "[service ventas-2] has no keys"));
    BOOST_TEST(rejects("[service x] slots = 6\ndata-centres = a\nslots = 1\n", "line 1: text after [service x]"));
}

BOOST_AUTO_TEST_CASE(RejectsMalformedText)
{
    BOOST_TEST(rejects("; caf\xe9\n" + Service, "line 1: not UTF-8"));
    BOOST_TEST(rejects(Service + "; " + std::string(5000, 'x') + "\n", "line 5: has 5002 bytes"));
    BOOST_TEST(rejects(Service + "; \x7f\n", "binary byte"));
    BOOST_TEST(rejects(std::string(ConfigLimits::MaxFileBytes + 1, ';'), "split it"));
    BOOST_TEST(errorsOf("; señal, café\n" + Service).empty());
    std::vector<ConfigFile> files;
    for (int i = 0; i < 20; ++i) {
        files.push_back({FileName(std::to_string(i)), fmt::format("[service s{}]\ndata-centres = a\nslots = 1\n", i)});
        while (files.back().text.size() < 850000) {
            files.back().text += "; " + std::string(4000, 'x') + "\n";
        }
    }
    const auto total = ConfigSnapshot::validate(files);
    BOOST_REQUIRE(!total.has_value());
    BOOST_TEST(total.error().message.find("the limit is 16777216") != std::string::npos);
}

// Thousands of errors in one copied file: the first ones are listed and the rest counted, so that
// the message stays readable and the check fast.
BOOST_AUTO_TEST_CASE(LimitsTheErrorsListed)
{
    std::string text;
    for (int i = 0; i < 3000; ++i) {
        text += fmt::format("[route r{0}]\npath = /{0}\nmethods = GET\nservice = venta{0}\nidempotent = no\ntimeout-ms = 1000\n", i);
    }
    const auto errors = errorsOf(Service + text);
    BOOST_TEST(std::count(errors.begin(), errors.end(), '\n') == static_cast<int>(ConfigLimits::MaxErrors));
    BOOST_TEST(errors.find("and 2950 more errors") != std::string::npos);
}

// The look-up must find the same route as a linear search.
BOOST_AUTO_TEST_CASE(LookUpAgreesWithALinearSearch)
{
    std::mt19937 random(7);
    const auto randomPath = [&] {
        std::string path;
        const auto segments = 1 + random() % 4;
        for (std::size_t i = 0; i < segments; ++i) {
            path += "/" + std::string(1 + random() % 2, static_cast<char>('a' + random() % 3));
        }
        return path;
    };
    std::string text = Service + "[route root]\npath = /\nmethods = PUT\nservice = ventas\nidempotent = no\ntimeout-ms = 1000\n";
    std::set<std::string> paths;
    for (int i = 0; i < 200; ++i) {
        const auto path = randomPath();
        if (paths.insert(path).second) {
            const auto *methods = random() % 2 == 0 ? "GET" : "GET, PUT";
            text += fmt::format("[route r{}]\npath = {}\nmethods = {}\nservice = ventas\nidempotent = no\ntimeout-ms = 1000\n", i, path, methods);
        }
    }
    const auto snapshot = ConfigSnapshot::validate({{FileName("f.ini"), text}});
    BOOST_REQUIRE(snapshot.has_value());
    for (int i = 0; i < 5000; ++i) {
        const auto path
            = random() % 10 == 0 ? std::string(random() % 12, '/') : randomPath() + (random() % 4 == 0 ? "/" : "") + (random() % 3 == 0 ? randomPath() : "");
        const std::string method = random() % 2 == 0 ? "GET" : "PUT";
        const RouteDefinition *expected = nullptr;
        for (const auto &route : (*snapshot)->routes()) {
            const bool accepts = std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
            const bool moreSpecific = expected == nullptr || route.path.size() > expected->path.size();
            if (moreSpecific && accepts && pathMatches(route.path, path)) {
                expected = &route;
            }
        }
        BOOST_TEST((*snapshot)->route(method, path) == expected, method << " " << path);
    }
}

BOOST_AUTO_TEST_CASE(AcceptsHostsSplitsAndPriorities)
{
    const std::string next = "[service next]\ndata-centres = rosario-a\nslots = 6\nhealth-path = /ready\n";
    const auto more = "host = a.example\nsplit = ventas 90, next 10\npriority = 3\nmax-targets = 2\n";
    const auto snapshot = ConfigSnapshot::validate({{FileName("f.ini"), Service + next + Route + more}});
    BOOST_REQUIRE_MESSAGE(snapshot.has_value(), snapshot.error().message);
    BOOST_TEST((*snapshot)->service(ServiceName("next"))->healthPath == "/ready");
    BOOST_TEST((*snapshot)->route("POST", "/ventas", "b.example") == nullptr);
    const auto *route = (*snapshot)->route("POST", "/ventas", "a.example");
    BOOST_REQUIRE(route != nullptr);
    const std::vector<WeightedService> split = {{ServiceName("ventas"), 90}, {ServiceName("next"), 10}};
    BOOST_TEST((route->split == split));
    BOOST_TEST(route->priority == 3U);
    BOOST_TEST(route->maxTargets == 2U);
}

// An operator has one route for all hosts and one for a single host on the same path. A call to
// that host gets the latter, whichever is defined first.
BOOST_AUTO_TEST_CASE(HostSpecificRouteTakesPrecedence)
{
    auto hostRoute = Route;
    hostRoute.replace(hostRoute.find("pedidos"), 7, "propios");
    for (const auto &text : {fmt::format("{}{}host = a.example\n", Route, hostRoute), fmt::format("{}host = a.example\n{}", hostRoute, Route)}) {
        const auto snapshot = ConfigSnapshot::validate({{FileName("f.ini"), Service + text}});
        BOOST_REQUIRE_MESSAGE(snapshot.has_value(), snapshot.error().message);
        BOOST_TEST((*snapshot)->route("POST", "/ventas/1", "a.example")->name.value() == "propios");
        BOOST_TEST((*snapshot)->route("POST", "/ventas/1", "b.example")->name.value() == "pedidos");
    }
}

BOOST_AUTO_TEST_CASE(RejectsMistakesInHostsSplitsAndPriorities)
{
    BOOST_TEST(rejects(Service + Route + "host = a b\n", "give the name that calls carry in Host"));
    BOOST_TEST(rejects(Service + Route + "split = ventas\n", "give parts as NAME WEIGHT"));
    BOOST_TEST(rejects(Service + Route + "split = ventas 0\n", "give parts as NAME WEIGHT"));
    BOOST_TEST(rejects(Service + Route + "split = other 1, ventas 1\n", "begin with service = ventas"));
    BOOST_TEST(rejects(Service + Route + "split = ventas 1, ventaz 1\n", "no such service; did you mean \"ventas\"?"));
    BOOST_TEST(rejects(Service + Route + "priority = x\n", "priority = x: give a whole number"));
    BOOST_TEST(rejects(Service + Route + "max-targets = 0\n", "max-targets = 0: give a whole number from 1"));
    BOOST_TEST(rejects("[service x]\nslots = 1\ndata-centres = a\nhealth-path = ready\n", "give a path that begins with '/'"));
}

// Operators copy the examples, so each folder must be valid as it is.
BOOST_AUTO_TEST_CASE(AcceptsTheExamples)
{
    for (const auto &folder : std::filesystem::directory_iterator(EXAMPLES_FOLDER)) {
        std::vector<ConfigFile> files;
        for (const auto &entry : std::filesystem::directory_iterator(folder)) {
            std::ifstream stream(entry.path());
            files.push_back({FileName(entry.path().filename().string()), std::string(std::istreambuf_iterator<char>(stream), {})});
        }
        const auto snapshot = ConfigSnapshot::validate(files);
        BOOST_TEST(snapshot.has_value(), folder.path().string() + ": " + (snapshot ? "" : snapshot.error().message));
    }
}
