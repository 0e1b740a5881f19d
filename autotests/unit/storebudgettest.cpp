#include "core/config/storebudget.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace Galenahill;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

// Calls that one node makes within the time if it asks without a pause.
std::size_t callsWithin(Milliseconds time, StoreBudget &budget)
{
    std::size_t calls = 0;
    auto now = Start;
    while (true) {
        now += budget.reserve(now);
        if (now >= Start + time) {
            return calls;
        }
        ++calls;
    }
}

}

// A watch that returns at once puts a node into a loop of store calls. Without
// a bound on the node, a few of them use up what the store gives the fleet.
BOOST_AUTO_TEST_CASE(LoopIsHeldToTheRate)
{
    StoreBudget budget({.callsPerSecond = 2, .burst = 12});
    BOOST_TEST(callsWithin(Milliseconds(60000), budget) <= 12U + 120U);
}

// All nodes return at once and each makes its first calls at once: the burst
// times the fleet is what the store must take, spread by the jitter at start.
BOOST_AUTO_TEST_CASE(BurstIsBounded)
{
    StoreBudget budget({.callsPerSecond = 2, .burst = 12});
    BOOST_TEST(callsWithin(Milliseconds(1), budget) == 12U);
}

// The store is down for minutes and every node waits. In step they would
// return together, at the same moments.
BOOST_AUTO_TEST_CASE(BackoffGrowsWithJitterAndResets)
{
    std::set<std::int64_t> pauses;
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        StoreBudget budget({.seed = seed});
        Milliseconds pause{0};
        for (int failure = 0; failure < 12; ++failure) {
            pause = budget.failed();
        }
        BOOST_TEST(pause.count() >= 2500);
        BOOST_TEST(pause.count() <= 10000);
        pauses.insert(pause.count());
        budget.succeeded();
        BOOST_TEST(budget.failed().count() <= 200);
    }
    BOOST_TEST(pauses.size() > 40U);
}
