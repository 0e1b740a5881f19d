#include "core/configsnapshot.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const std::string Service = "[service ventas]\ndata-centres = rosario-a\nslots = 6\nconnections = 120\n";
const std::string Route = "[route pedidos]\npath = /ventas\nmethods = POST\nservice = ventas\nidempotent = no\ntimeout-ms = 1000\n";

std::string faultsOf(const std::string &text)
{
    const auto snapshot = ConfigSnapshot::validate({{FileName("f.ini"), text}});
    return snapshot ? std::string() : snapshot.error().message;
}

bool refuses(const std::string &text, const std::string &part)
{
    const auto faults = faultsOf(text);
    BOOST_TEST_MESSAGE(faults);
    return faults.find(part) != std::string::npos;
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

BOOST_AUTO_TEST_CASE(RefusesRouteToUndefinedServiceWithNearestName)
{
    std::string route = Route;
    route.replace(route.find("service = ventas"), 16, "service = venta");
    BOOST_TEST(refuses(Service + route, "f.ini [route pedidos] service = venta: no such service; did you mean \"ventas\"?"));
}

BOOST_AUTO_TEST_CASE(RefusesCopiedMistakes)
{
    BOOST_TEST(refuses("", "the file is empty"));
    BOOST_TEST(refuses("\xEF\xBB\xBF" + Service, "byte order mark"));
    BOOST_TEST(refuses("[service a]\r\nslots = 1\r\n", "carriage return"));
    BOOST_TEST(refuses(Service + std::string("\0", 1), "binary byte"));
    BOOST_TEST(refuses(Service + Service, "line 5"));
    BOOST_TEST(refuses(Service + "slots = 6\n", "duplicate key"));
    BOOST_TEST(refuses(Service + "slotz = 6\n", "did you mean \"slots\"?"));
    BOOST_TEST(refuses("[servise x]\nslots = 1\n", "did you mean \"service\"?"));
    BOOST_TEST(refuses("[service x]\nslots = 0\ndata-centres = a\n", "give a whole number from 1"));
    BOOST_TEST(refuses("[service x]\nslots = 6\n", "data-centres is missing"));
    BOOST_TEST(refuses("[service x]\n" + Service, "[service x] has no keys"));
    BOOST_TEST(refuses(Service + Route + "retries = 100\n", "retries = 100"));
    BOOST_TEST(refuses(Service + Route + "retries = 1\n", "isn't idempotent is never run again"));
    BOOST_TEST(refuses(Service + Route + "slo-availability = 100\n", "below 100"));
}

BOOST_AUTO_TEST_CASE(RefusesTwoRoutesForOnePathAndMethod)
{
    std::string other = Route;
    other.replace(other.find("pedidos"), 7, "otra");
    BOOST_TEST(refuses(Service + Route + other, "POST is already taken by [route pedidos]"));
}
