#include "core/calls/attempttimeoutpolicy.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const RouteName Board("board");
const TimePoint Now{Milliseconds(1000)};
const TimePoint Deadline = Now + Milliseconds(300);

}

// A target is paused. Without a limit the attempt would last until the call's deadline, and no
// other target could be tried.
BOOST_AUTO_TEST_CASE(leavesTimeForAnotherAttempt)
{
    AttemptTimeoutPolicy policy;
    BOOST_TEST((policy.attemptDeadline(Board, Now, Deadline) == Deadline));
    policy.record(Board, Milliseconds(20));
    BOOST_TEST((policy.attemptDeadline(Board, Now, Deadline) == Now + Milliseconds(150)));
}

// Calls of the route take 200 of 300 ms. If attempts were cancelled at half of that, all would be
// retried and none would succeed. Cancelled attempts count in the average too, so that even when a
// route becomes that slow suddenly, attempts get more time after a few calls.
BOOST_AUTO_TEST_CASE(doesNotShortenRoutesThatNeedTheirTimeout)
{
    AttemptTimeoutPolicy policy;
    policy.record(Board, Milliseconds(20));
    for (int i = 0; i < 40; ++i) {
        policy.record(Board, Milliseconds(150));
    }
    BOOST_TEST((policy.attemptDeadline(Board, Now, Deadline) == Deadline));
}
