#include "core/calls/targetratelimiter.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

using namespace Galenahill;

namespace {

constexpr double WindowSeconds = 4;

TimePoint at(double seconds)
{
    return TimePoint() + std::chrono::hours(1) + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
}

// Times, in seconds, of the calls that the limiter lets pass of a Poisson demand.
std::vector<double> passedCalls(TargetRateLimiter &limiter, double demandPerSecond, double seconds, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> interval(demandPerSecond);
    std::vector<double> passed;
    for (double now = interval(random); now < seconds; now += interval(random)) {
        if (limiter.tryAcquire(at(now))) {
            passed.push_back(now);
        }
    }
    return passed;
}

std::size_t mostInWindow(const std::vector<double> &times)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= WindowSeconds) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

}

// Guards against a target that gets more calls than it stated, in any window, at rates from below one
// call a second to some hundred.
BOOST_AUTO_TEST_CASE(HoldsTheRateInEveryWindow)
{
    for (const double rate : {0.2, 0.9, 3.0, 6.5, 12.2, 100.0, 400.0}) {
        for (const double demand : {1.2, 3.0, 20.0}) {
            TargetRateLimiter limiter;
            limiter.update(CallsPerSecond(rate), at(0), at(0));
            const auto passed = passedCalls(limiter, rate * demand, 60, 7);
            const double allowed = WindowSeconds * rate + 4 + rate / 4 + 1;
            BOOST_TEST(static_cast<double>(mostInWindow(passed)) <= allowed, "rate " << rate << ", demand " << demand);
        }
    }
}

// Guards against a limiter that starves its target: with a steady demand above the limit the target
// gets nine tenths of it at least.
BOOST_AUTO_TEST_CASE(UsesTheRateUnderSteadyDemand)
{
    for (const double rate : {0.5, 3.0, 6.5, 12.2, 100.0}) {
        for (const double demand : {1.2, 1.5, 5.0}) {
            TargetRateLimiter limiter;
            limiter.update(CallsPerSecond(rate), at(0), at(0));
            const double seconds = 2000 / rate;
            const auto passed = passedCalls(limiter, rate * demand, seconds, 11);
            BOOST_TEST(static_cast<double>(passed.size()) >= 0.9 * rate * seconds, "rate " << rate << ", demand " << demand);
        }
    }
}

// Guards against a burst of saved permissions when a target lowers its limit.
BOOST_AUTO_TEST_CASE(LoweredLimitAppliesAtOnce)
{
    TargetRateLimiter limiter;
    limiter.update(CallsPerSecond(100), at(0), at(0));
    BOOST_TEST(limiter.available(1000, at(10)) == 29U);
    limiter.update(CallsPerSecond(1), at(10), at(10));
    BOOST_TEST(limiter.available(1000, at(10)) <= 4U);
    limiter.update(CallsPerSecond(0), at(11), at(11));
    BOOST_TEST(limiter.available(1000, at(1000)) == 0U);
    BOOST_TEST(!limiter.tryAcquire(at(1000)));
}

BOOST_AUTO_TEST_CASE(WithoutALimitAllCallsAreAllowed)
{
    TargetRateLimiter limiter;
    BOOST_TEST(limiter.available(6, at(0)) == 6U);
    BOOST_TEST(limiter.timeUntil(100, at(0)).count() == 0);
    limiter.update(CallsPerSecond(1), at(0), at(0));
    BOOST_TEST(!limiter.tryAcquire(at(0)));
    limiter.update(std::nullopt, at(1), at(1));
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(limiter.tryAcquire(at(1)));
    }
}

// Guards against calls that all return at the same moment: each waits for its own permission.
BOOST_AUTO_TEST_CASE(ReportsTheWaitOfEachPosition)
{
    TargetRateLimiter limiter;
    limiter.update(CallsPerSecond(2), at(0), at(0));
    BOOST_TEST((limiter.timeUntil(1, at(0)) == Milliseconds(500)));
    BOOST_TEST((limiter.timeUntil(4, at(0)) == Milliseconds(2000)));
    BOOST_TEST((limiter.interval() == Milliseconds(500)));
}

// Guards against calls that could not be sent and still count against the limit.
BOOST_AUTO_TEST_CASE(UnsentCallReturnsItsPermission)
{
    TargetRateLimiter limiter;
    limiter.update(CallsPerSecond(1), at(0), at(0));
    BOOST_TEST(limiter.tryAcquire(at(1)));
    BOOST_TEST(!limiter.tryAcquire(at(1)));
    limiter.release(at(1));
    BOOST_TEST(limiter.tryAcquire(at(1)));
}
