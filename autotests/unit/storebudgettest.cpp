#include "core/config/storebudget.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace Galenahill;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

// Number of calls that one node makes within the time if it calls without a pause.
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

// A watch that returns immediately puts a node into a loop of store calls. Without a limit per
// node, a few such nodes would use up the store's capacity for the whole fleet.
BOOST_AUTO_TEST_CASE(LoopIsLimitedToTheRate)
{
    StoreBudget budget({.callsPerSecond = 2, .burst = 12});
    BOOST_TEST(callsWithin(Milliseconds(60000), budget) <= 12U + 120U);
}

// All nodes restart at once and make their first calls immediately: the store must handle the burst
// times the number of nodes, spread by the jitter at start.
BOOST_AUTO_TEST_CASE(BurstIsLimited)
{
    StoreBudget budget({.callsPerSecond = 2, .burst = 12});
    BOOST_TEST(callsWithin(Milliseconds(1), budget) == 12U);
}

// The store is unavailable for minutes and every node waits. Without jitter they would all retry at
// the same moments.
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
