#include "core/calls/routelimiter.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

// Every call of one route hangs. The route may use up its own limit, not the places of other
// routes; and the node as a whole has a limit.
BOOST_AUTO_TEST_CASE(hangingRouteLeavesPlacesForOthers)
{
    RouteLimiter limiter({.maxCalls = 5, .maxCallsPerRoute = 3});
    const RouteName hanging("hanging");
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(limiter.tryAcquire(hanging));
    }
    BOOST_TEST(!limiter.tryAcquire(hanging));
    BOOST_TEST(limiter.tryAcquire(RouteName("a")));
    BOOST_TEST(limiter.tryAcquire(RouteName("b")));
    BOOST_TEST(!limiter.tryAcquire(RouteName("c")));
    limiter.release(hanging);
    BOOST_TEST(limiter.tryAcquire(RouteName("c")));
}
