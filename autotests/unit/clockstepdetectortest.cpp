#include "core/fleet/clockstepdetector.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

struct Clocks
{
    Milliseconds advance(Milliseconds monotonicTime, Milliseconds wallTime)
    {
        monotonic += monotonicTime;
        wallClock += wallTime;
        return detector.observe(wallClock, monotonic);
    }

    ClockStepDetector detector;
    TimePoint monotonic{Milliseconds(5000)};
    ClockStepDetector::TimeOfDay wallClock{Milliseconds(1'700'000'000'000)};
};

}

BOOST_FIXTURE_TEST_CASE(StepsAreCountedInBothDirections, Clocks)
{
    BOOST_TEST(advance(Milliseconds(0), Milliseconds(0)).count() == 0);
    BOOST_TEST(advance(Milliseconds(100), Milliseconds(10100)).count() == 10000);
    BOOST_TEST(advance(Milliseconds(100), Milliseconds(-9900)).count() == -10000);
    BOOST_TEST(detector.steps() == 2U);
}

BOOST_FIXTURE_TEST_CASE(LateReadingIsNoStep, Clocks)
{
    advance(Milliseconds(0), Milliseconds(0));
    BOOST_TEST(advance(Milliseconds(30000), Milliseconds(30020)).count() == 0);
    BOOST_TEST(detector.steps() == 0U);
}
