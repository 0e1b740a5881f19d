#include "core/calls/trafficsplit.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace Galenahill;

namespace {

RouteDefinition route(double first, double second)
{
    RouteDefinition route;
    route.name = RouteName("ver-cola");
    route.service = ServiceName("tablero");
    route.split = {{ServiceName("tablero"), first}, {ServiceName("ventas"), second}};
    return route;
}

std::map<std::string, int> count(TrafficSplit &split, const RouteDefinition &route, int calls)
{
    std::map<std::string, int> counts;
    for (int i = 0; i < calls; ++i) {
        ++counts[split.next(route).value()];
    }
    return counts;
}

}

// A share of one in ten shows in any ten calls, not only in the long run: a node gets about seven
// calls a second of a route, and the shares are observed over windows of a few hundred calls of the
// whole fleet.
BOOST_AUTO_TEST_CASE(KeepsTheSharesFromTheFirstCalls)
{
    TrafficSplit split;
    for (int window = 0; window < 20; ++window) {
        auto counts = count(split, route(90, 10), 10);
        BOOST_TEST(counts["tablero"] == 9);
        BOOST_TEST(counts["ventas"] == 1);
    }
}

// The operator swaps the weights. Current weights from before the swap must not count after it.
BOOST_AUTO_TEST_CASE(FollowsNewWeightsAtOnce)
{
    TrafficSplit split;
    count(split, route(90, 10), 7);
    auto counts = count(split, route(25, 75), 8);
    BOOST_TEST(counts["tablero"] == 2);
    BOOST_TEST(counts["ventas"] == 6);
}

BOOST_AUTO_TEST_CASE(WithoutASplitTheServiceTakesAll)
{
    TrafficSplit split;
    RouteDefinition plain;
    plain.service = ServiceName("ventas");
    BOOST_TEST(split.next(plain) == ServiceName("ventas"));
}
