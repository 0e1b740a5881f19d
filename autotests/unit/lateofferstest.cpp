#include "core/calls/lateoffers.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

// The pattern: one of four targets turns slow by a factor of twelve for some
// seconds, so that calls of 160 ms with an objective of 500 ms take 1.9 s there.
// It has slots free, its neighbours are busy. Callers of the calls that it gets
// are all late, while a neighbour would have served them in time.
BOOST_AUTO_TEST_CASE(ASlowTargetGetsOnlyTrials)
{
    LateOffers offers({});
    constexpr Milliseconds Objective{500};
    constexpr Milliseconds SlowTime{1900};
    constexpr Milliseconds BetweenCalls{50};
    int taken = 0;
    auto now = TimePoint() + std::chrono::hours(1);
    const auto end = now + std::chrono::seconds(6);
    for (; now < end; now += BetweenCalls) {
        taken += offers.turnsAway(now, now + SlowTime, now + Objective) ? 0 : 1;
    }
    // Two a second, of twenty that are offered.
    BOOST_TEST(taken == 12);
}

// A target that is fast enough takes all, also just after it was slow.
BOOST_AUTO_TEST_CASE(TakesWhatIsInTime)
{
    LateOffers offers({});
    const auto now = TimePoint() + std::chrono::hours(1);
    offers.turnsAway(now, now + Milliseconds(900), now + Milliseconds(500));
    for (int call = 0; call < 100; ++call) {
        BOOST_TEST(!offers.turnsAway(now, now + Milliseconds(300), now + Milliseconds(500)));
    }
    BOOST_TEST(offers.turnsAway(now, now + Milliseconds(900), now + Milliseconds(500)));
}

// A call without an objective is never late.
BOOST_AUTO_TEST_CASE(TakesWhatHasNoObjective)
{
    LateOffers offers({});
    const auto now = TimePoint() + std::chrono::hours(1);
    for (int call = 0; call < 100; ++call) {
        BOOST_TEST(!offers.turnsAway(now, now + std::chrono::hours(1), TimePoint::max()));
    }
}
