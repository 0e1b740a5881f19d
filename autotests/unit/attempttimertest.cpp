#include "core/calls/attempttimer.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const RouteName Board("board");
const TimePoint Now{Milliseconds(1000)};
const TimePoint Deadline = Now + Milliseconds(300);

}

// A target freezes; without a cut the attempt lasts until the call's deadline
// and no other target can be asked.
BOOST_AUTO_TEST_CASE(leavesTimeForAnotherAttempt)
{
    AttemptTimer timer;
    BOOST_TEST((timer.attemptDeadline(Board, Now, Deadline) == Deadline));
    timer.observed(Board, Milliseconds(20));
    BOOST_TEST((timer.attemptDeadline(Board, Now, Deadline) == Now + Milliseconds(150)));
}

// Calls of the route take 200 of 300 ms. Cut at half, every attempt would be
// repeated and none answered. The cut ones count too, so even when a route
// becomes that slow at once, the cut gives way after a few calls.
BOOST_AUTO_TEST_CASE(doesNotCutRoutesThatNeedTheirTimeout)
{
    AttemptTimer timer;
    timer.observed(Board, Milliseconds(20));
    for (int i = 0; i < 40; ++i) {
        timer.observed(Board, Milliseconds(150));
    }
    BOOST_TEST((timer.attemptDeadline(Board, Now, Deadline) == Deadline));
}
