#include "core/calls/routelimiter.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

// Every call of one route hangs. The route may use up its own limit, not the places of other
// routes; and the node as a whole has a limit.
BOOST_AUTO_TEST_CASE(hangingRouteLeavesPlacesForOthers)
{
    RouteLimiter limiter({.all = 5, .perRoute = 3});
    const RouteName hanging("hanging");
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(limiter.tryEnter(hanging));
    }
    BOOST_TEST(!limiter.tryEnter(hanging));
    BOOST_TEST(limiter.tryEnter(RouteName("a")));
    BOOST_TEST(limiter.tryEnter(RouteName("b")));
    BOOST_TEST(!limiter.tryEnter(RouteName("c")));
    limiter.leave(hanging);
    BOOST_TEST(limiter.tryEnter(RouteName("c")));
}
