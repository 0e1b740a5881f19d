#include "core/calls/latecallfilter.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

// One of four targets becomes slower by a factor of twelve for some seconds, so that calls of
// 160 ms with an objective of 500 ms take 1.9 s there. It has free slots while its peers are busy,
// so it attracts calls and makes all of them late, although a peer would have met their objective.
BOOST_AUTO_TEST_CASE(ASlowTargetGetsOnlyProbes)
{
    LateCallFilter filter({});
    constexpr Milliseconds Objective{500};
    constexpr Milliseconds SlowTime{1900};
    constexpr Milliseconds BetweenCalls{50};
    int accepted = 0;
    auto now = TimePoint() + std::chrono::hours(1);
    const auto end = now + std::chrono::seconds(6);
    for (; now < end; now += BetweenCalls) {
        accepted += filter.shouldReject(now, now + SlowTime, now + Objective) ? 0 : 1;
    }
    // Two per second are accepted, of twenty that are offered.
    BOOST_TEST(accepted == 12);
}

// A target that is fast enough accepts all calls, also right after it was slow.
BOOST_AUTO_TEST_CASE(AcceptsCallsThatMeetTheirObjective)
{
    LateCallFilter filter({});
    const auto now = TimePoint() + std::chrono::hours(1);
    filter.shouldReject(now, now + Milliseconds(900), now + Milliseconds(500));
    for (int call = 0; call < 100; ++call) {
        BOOST_TEST(!filter.shouldReject(now, now + Milliseconds(300), now + Milliseconds(500)));
    }
    BOOST_TEST(filter.shouldReject(now, now + Milliseconds(900), now + Milliseconds(500)));
}

// A call without an objective is never late.
BOOST_AUTO_TEST_CASE(AcceptsCallsWithoutObjective)
{
    LateCallFilter filter({});
    const auto now = TimePoint() + std::chrono::hours(1);
    for (int call = 0; call < 100; ++call) {
        BOOST_TEST(!filter.shouldReject(now, now + std::chrono::hours(1), TimePoint::max()));
    }
}
