#include "loadsimulation.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;
using namespace Galenahill::Test;

namespace {

constexpr std::uint64_t Seeds[] = {1, 2};

// Maximum by which a data centre's ratio of served calls may fall short of the fleet's.
constexpr double MaxShortfall = 0.02;

constexpr double MaxBusiestToMean = 1.3;

LoadSimulation::Options largeFleet(std::uint64_t seed)
{
    LoadSimulation::Options options;
    options.seed = seed;
    options.length = Milliseconds(4000);
    return options;
}

LoadSimulation::Result simulate(LoadSimulation::Options options)
{
    return LoadSimulation(std::move(options)).run();
}

double maxShortfall(const LoadSimulation::Result &result)
{
    double shortfall = 0;
    for (std::size_t i = 0; i < result.callsOf.size(); ++i) {
        shortfall = std::max(shortfall, result.served() - result.served(i));
    }
    return shortfall;
}

double share(std::size_t part, const LoadSimulation::Result &result)
{
    return static_cast<double>(part) / static_cast<double>(result.calls);
}

}

// Scenario: callers are distributed unevenly over six data centres, so that two of them need more
// slots than they have while the fleet has free ones.
BOOST_AUTO_TEST_CASE(FullDataCentreSendsItsExcessToOthers)
{
    for (const auto seed : Seeds) {
        auto options = largeFleet(seed);
        options.arrivals = {0.87, 1.06, 0.82, 0.93, 1.19, 1.13};
        const auto result = simulate(options);
        BOOST_TEST(maxShortfall(result) <= MaxShortfall);
        BOOST_TEST(result.busiestToMean() <= MaxBusiestToMean);
        // Twice the share of calls that exceed the slots of their data centre.
        BOOST_TEST(share(result.remoteCalls, result) <= 0.05);
    }
}

// Scenario: most targets of one data centre are gone, so that the others there are full all the
// time while a hundred targets elsewhere have free slots.
BOOST_AUTO_TEST_CASE(CallersOfLostTargetsAreServedElsewhere)
{
    for (const auto seed : Seeds) {
        auto options = largeFleet(seed);
        options.load = 0.65;
        options.missing = 12;
        const auto result = simulate(options);
        BOOST_TEST(result.served() >= 0.98);
        BOOST_TEST(maxShortfall(result) <= MaxShortfall);
    }
}

// Scenario: every data centre is full. Sending calls to another one gains nothing.
BOOST_AUTO_TEST_CASE(CallsStayLocalIfNoDataCentreHasFreeSlots)
{
    for (const auto seed : Seeds) {
        auto options = largeFleet(seed);
        options.load = 1.3;
        const auto result = simulate(options);
        BOOST_TEST(result.served() >= 0.95 / options.load);
        BOOST_TEST(share(result.remoteCalls, result) <= 0.1);
    }
}

// Scenario: a lightly loaded fleet.
BOOST_AUTO_TEST_CASE(CallsStayInADataCentreWithFreeSlots)
{
    auto options = largeFleet(1);
    options.load = 0.6;
    const auto result = simulate(options);
    BOOST_TEST(share(result.remoteCalls, result) <= 0.005);
    BOOST_TEST(share(result.refused, result) <= 0.005);
}

// Guards against a fleet that depends on load reports.
BOOST_AUTO_TEST_CASE(WithoutReportsIngressesRelyOnResponses)
{
    auto withoutReports = largeFleet(1);
    withoutReports.reportsLostFrom = Milliseconds(0);
    auto withoutExchange = largeFleet(1);
    withoutExchange.exchange = false;
    BOOST_TEST(simulate(withoutReports).served() >= simulate(withoutExchange).served() - 0.01);

    auto withReportsLost = largeFleet(1);
    withReportsLost.reportsLostFrom = Milliseconds(1500);
    BOOST_TEST(simulate(withReportsLost).served() >= simulate(withoutExchange).served() - 0.01);
}

BOOST_AUTO_TEST_CASE(OtherServicesAndFleetSizesAreServedAsWell)
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
        LoadSimulation::Options options;
        options.dataCentres = each.dataCentres;
        options.targets = each.targets;
        options.members = each.members;
        options.slots = each.slots;
        options.workMs = each.workMs;
        options.objective = Milliseconds(static_cast<std::int64_t>(each.workMs * 3));
        options.maxWait = Milliseconds(static_cast<std::int64_t>(each.workMs / 2));
        options.load = 0.7;
        options.length = each.length;
        const auto with = simulate(options);
        options.exchange = false;
        const auto without = simulate(options);
        BOOST_TEST(with.served() >= without.served() - 0.01, each.name << ": " << with.served() << " with reports, " << without.served() << " without");
    }
}
