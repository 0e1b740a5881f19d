// Versions that the platform's store accepts, and that nodes have to bring into force as a whole.

#include "core/calls/trafficsplit.h"
#include "core/config/configsnapshot.h"
#include "platform/configuration.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <map>

using namespace Galenahill;

namespace {

constexpr int Calls = 1000;

std::shared_ptr<const ConfigSnapshot> snapshotOf(const std::string &hosts)
{
    auto decoded = Platform::decodeConfiguration(fmt::format(R"({{"version":"r2","services":[{{"name":"a"}},{{"name":"b"}}],"virtual-hosts":[{}]}})", hosts));
    BOOST_REQUIRE_MESSAGE(decoded.has_value(), decoded.error().message);
    auto snapshot = ConfigSnapshot::assemble(std::move(decoded->definitions));
    BOOST_REQUIRE_MESSAGE(snapshot.has_value(), snapshot.error().message);
    return *snapshot;
}

std::string route(const std::string &name, const std::string &path, const std::string &destination)
{
    return fmt::format(R"({{"name":"{}","path-prefix":"{}","type":"safe","timeout-s":1,{}}})", name, path, destination);
}

}

// Guards against weights with a fraction, which make a node refuse the version.
BOOST_AUTO_TEST_CASE(WeightsMayHaveFractions)
{
    const auto split = route("r", "/x/", R"("traffic-split":[{"service":"a","weight":0.75},{"service":"b","weight":0.25}])");
    const auto snapshot = snapshotOf(fmt::format(R"({{"host":"h","paths":[{}]}})", split));
    const auto *found = snapshot->route("GET", "/x/y", "h");
    BOOST_REQUIRE(found != nullptr);
    TrafficSplit picker;
    std::map<ServiceName, int> counts;
    for (int i = 0; i < Calls; ++i) {
        ++counts[picker.next(*found)];
    }
    BOOST_TEST(counts[ServiceName("a")] == Calls * 3 / 4);
    BOOST_TEST(counts[ServiceName("b")] == Calls / 4);
}

// Guards against routes of different hosts under one name, which make a node refuse the version.
BOOST_AUTO_TEST_CASE(RoutesOfTwoHostsMayHaveOneName)
{
    const auto first = route("r", "/x/", R"("service":"a")");
    const auto second = route("r", "/x/", R"("service":"b")");
    const auto snapshot = snapshotOf(fmt::format(R"({{"host":"one","paths":[{}]}},{{"host":"two","paths":[{}]}})", first, second));
    const auto *one = snapshot->route("GET", "/x/y", "one");
    const auto *two = snapshot->route("GET", "/x/y", "two");
    BOOST_REQUIRE(one != nullptr);
    BOOST_REQUIRE(two != nullptr);
    BOOST_TEST(one->service.value() == "a");
    BOOST_TEST(two->service.value() == "b");
    BOOST_TEST(one->name.value() != two->name.value());
}
