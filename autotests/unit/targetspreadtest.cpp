#include "fleetload.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;
using namespace Galenahill::Test;

namespace {

constexpr std::uint64_t Seeds[] = {1, 2};

// A data centre is worse off than the others beyond this.
constexpr double MaxBehind = 0.02;

constexpr double MaxBusiestToMean = 1.3;

FleetLoad::Options largeFleet(std::uint64_t seed)
{
    FleetLoad::Options options;
    options.seed = seed;
    options.length = Milliseconds(4000);
    return options;
}

FleetLoad::Result played(FleetLoad::Options options)
{
    return FleetLoad(std::move(options)).run();
}

double worstBehind(const FleetLoad::Result &result)
{
    double behind = 0;
    for (std::size_t i = 0; i < result.callsOf.size(); ++i) {
        behind = std::max(behind, result.served() - result.served(i));
    }
    return behind;
}

double share(std::size_t part, const FleetLoad::Result &result)
{
    return static_cast<double>(part) / static_cast<double>(result.calls);
}

}

// The pattern: callers are spread unevenly over six data centres, so that two need
// more slots than they have while the fleet has room.
BOOST_AUTO_TEST_CASE(AFullDataCentreSendsItsExcessToOthers)
{
    for (const auto seed : Seeds) {
        auto options = largeFleet(seed);
        options.arrivals = {0.87, 1.06, 0.82, 0.93, 1.19, 1.13};
        const auto result = played(options);
        BOOST_TEST(worstBehind(result) <= MaxBehind);
        BOOST_TEST(result.busiestToMean() <= MaxBusiestToMean);
        // Twice the share of calls that exceed the slots of their data centre.
        BOOST_TEST(share(result.crossed, result) <= 0.05);
    }
}

// The pattern: most targets of one data centre are gone, so that the rest is full
// all the time and a hundred targets elsewhere have room.
BOOST_AUTO_TEST_CASE(CallersOfLostTargetsAreServedElsewhere)
{
    for (const auto seed : Seeds) {
        auto options = largeFleet(seed);
        options.load = 0.65;
        options.missing = 12;
        const auto result = played(options);
        BOOST_TEST(result.served() >= 0.98);
        BOOST_TEST(worstBehind(result) <= MaxBehind);
    }
}

// The pattern: every data centre is full. Crossing would gain nothing.
BOOST_AUTO_TEST_CASE(CallsStayWhereNoDataCentreHasRoom)
{
    for (const auto seed : Seeds) {
        auto options = largeFleet(seed);
        options.load = 1.3;
        const auto result = played(options);
        BOOST_TEST(result.served() >= 0.95 / options.load);
        BOOST_TEST(share(result.crossed, result) <= 0.1);
    }
}

// The pattern: a calm fleet.
BOOST_AUTO_TEST_CASE(CallsStayInADataCentreWithRoom)
{
    auto options = largeFleet(1);
    options.load = 0.6;
    const auto result = played(options);
    BOOST_TEST(share(result.crossed, result) <= 0.005);
    BOOST_TEST(share(result.refused, result) <= 0.005);
}

// Guards against a fleet that depends on its load reports.
BOOST_AUTO_TEST_CASE(WithoutReportsIngressesGoByAnswers)
{
    auto silent = largeFleet(1);
    silent.silentFrom = Milliseconds(0);
    auto none = largeFleet(1);
    none.exchange = false;
    BOOST_TEST(played(silent).served() >= played(none).served() - 0.01);

    auto lost = largeFleet(1);
    lost.silentFrom = Milliseconds(1500);
    BOOST_TEST(played(lost).served() >= played(none).served() - 0.01);
}

BOOST_AUTO_TEST_CASE(OtherServicesAndFleetsAreServedAsWell)
{
    struct Case
    {
        const char *name;
        std::size_t dataCentres;
        std::size_t targets;
        std::size_t members;
        std::uint32_t slots;
        double workMs;
        Milliseconds length;
    };
    const Case cases[] = {
        {"a dozen VMs", 4, 1, 3, 6, 160, Milliseconds(10000)},
        {"three slots, 5 ms", 3, 4, 8, 3, 5, Milliseconds(1500)},
        {"forty slots, 2 s", 3, 6, 12, 40, 2000, Milliseconds(15000)},
    };
    for (const auto &each : cases) {
        FleetLoad::Options options;
        options.dataCentres = each.dataCentres;
        options.targets = each.targets;
        options.members = each.members;
        options.slots = each.slots;
        options.workMs = each.workMs;
        options.objective = Milliseconds(static_cast<std::int64_t>(each.workMs * 3));
        options.longestWait = Milliseconds(static_cast<std::int64_t>(each.workMs / 2));
        options.load = 0.7;
        options.length = each.length;
        const auto with = played(options);
        options.exchange = false;
        const auto without = played(options);
        BOOST_TEST(with.served() >= without.served() - 0.01, each.name << ": " << with.served() << " with reports, " << without.served() << " without");
    }
}
