#include "core/fleet/clockwatch.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

struct Clocks
{
    Milliseconds pass(Milliseconds steadyTime, Milliseconds dayTime)
    {
        steady += steadyTime;
        day += dayTime;
        return watch.observe(day, steady);
    }

    ClockWatch watch;
    TimePoint steady{Milliseconds(5000)};
    ClockWatch::TimeOfDay day{Milliseconds(1'700'000'000'000)};
};

}

BOOST_FIXTURE_TEST_CASE(StepsAreCountedInBothDirections, Clocks)
{
    BOOST_TEST(pass(Milliseconds(0), Milliseconds(0)).count() == 0);
    BOOST_TEST(pass(Milliseconds(100), Milliseconds(10100)).count() == 10000);
    BOOST_TEST(pass(Milliseconds(100), Milliseconds(-9900)).count() == -10000);
    BOOST_TEST(watch.steps() == 2U);
}

BOOST_FIXTURE_TEST_CASE(ALateReadingIsNoStep, Clocks)
{
    pass(Milliseconds(0), Milliseconds(0));
    BOOST_TEST(pass(Milliseconds(30000), Milliseconds(30020)).count() == 0);
    BOOST_TEST(watch.steps() == 0U);
}
