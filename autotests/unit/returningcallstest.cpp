#include "core/calls/returningcalls.h"

#include "contentionmodel.h"
#include "core/calls/callslack.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;
using namespace Galenahill::Test;

namespace {

const RouteName Pickup("pickup");
const TimePoint Start(std::chrono::seconds(1000));

// Records that many calls with a deadline, one every 50 ms.
TimePoint newCalls(ReturningCalls &returning, Milliseconds deadline, int calls, TimePoint from)
{
    auto now = from;
    for (int i = 0; i < calls; ++i, now += Milliseconds(50)) {
        BOOST_TEST(returning.waitedBefore(Pickup, deadline, now).count() == 0);
    }
    return now;
}

// One target of 18 slots for 32 calls a second of 440 ms and an objective of 1,000 ms: 78% of its
// capacity, and 1.6 times that for four of sixty seconds. Rejected callers return once.
ContentionModel::Options pickups()
{
    ContentionModel::Options options;
    options.routes
        = {{.name = "pickup", .callsPerSecond = 32, .serviceMs = 440, .objective = Milliseconds(1000), .burst = 1.6, .deadline = Milliseconds(4000)}};
    return options;
}

enum class Recognition {
    None,
    // The wait counts if the call can still be answered within its objective.
    WhileInTime,
    Always,
};

ContentionModel::Result play(Recognition recognition, int minDelayMs, int maxDelayMs, std::uint64_t seed)
{
    auto options = pickups();
    ReturningCalls returning({});
    CallSlack slack({});
    std::mt19937_64 random(seed);
    options.seed = seed;
    options.answered = [&](const auto &route, std::chrono::microseconds time) { slack.recordAnswered(RouteName(route.name), time); };
    options.waitBound = [&](const auto &route) { return slack.waitBound(RouteName(route.name), route.objective).wait; };
    options.returnAfter
        = [&](const auto &, Milliseconds, Milliseconds) { return Milliseconds(std::uniform_int_distribution<int>(minDelayMs, maxDelayMs)(random)); };
    if (recognition != Recognition::None) {
        options.waitedBefore = [&](const auto &route, Milliseconds left, TimePoint now) {
            const RouteName name(route.name);
            const auto waited = returning.waitedBefore(name, left, now);
            return recognition == Recognition::Always || slack.canMeetObjective(name, route.objective, waited) ? waited : Milliseconds(0);
        };
    }
    return ContentionModel(std::move(options)).run().at("pickup");
}

// Sum over several seeds, which is also printed.
ContentionModel::Result sumOf(Recognition recognition, int minDelayMs, int maxDelayMs)
{
    ContentionModel::Result sum;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const auto result = play(recognition, minDelayMs, maxDelayMs, seed);
        sum.calls += result.calls;
        sum.inTime += result.inTime;
        sum.late += result.late;
        sum.returned += result.returned;
        sum.rejectedAgain += result.rejectedAgain;
    }
    BOOST_TEST_MESSAGE("recognition " << static_cast<int>(recognition) << ", return after " << minDelayMs << " to " << maxDelayMs << " ms: calls " << sum.calls
                                      << ", in time " << sum.inTime << ", late " << sum.late << ", returned " << sum.returned << ", rejected again "
                                      << sum.rejectedAgain);
    return sum;
}

// Share of the returning calls that were rejected again.
double rejectedAgain(const ContentionModel::Result &result)
{
    return static_cast<double>(result.rejectedAgain) / static_cast<double>(result.returned);
}

}

// Guards against first attempts that are taken for returning calls, also where callers use two deadlines.
BOOST_AUTO_TEST_CASE(FirstAttemptsHaveNotWaited)
{
    ReturningCalls returning({});
    auto now = newCalls(returning, Milliseconds(4000), 30, Start);
    for (int i = 0; i < 100; ++i, now += Milliseconds(50)) {
        const auto waited = returning.waitedBefore(Pickup, Milliseconds(i % 2 == 0 ? 4000 : 3000), now);
        BOOST_TEST((waited.count() == 0 || i < 20));
    }
    // A call that was on its way for some milliseconds.
    BOOST_TEST(returning.waitedBefore(Pickup, Milliseconds(3990), now).count() == 0);
    // Less than a returning caller has left.
    BOOST_TEST(returning.waitedBefore(Pickup, Milliseconds(1000), now).count() == 0);
}

// Guards against callers whose wait counts for nothing.
BOOST_AUTO_TEST_CASE(AReturningCallHasWaitedSinceItsFirstAttempt)
{
    ReturningCalls returning({});
    const auto now = newCalls(returning, Milliseconds(4000), 30, Start);
    BOOST_TEST(returning.waitedBefore(Pickup, Milliseconds(3400), now).count() == 600);
    BOOST_TEST(returning.waitedBefore(RouteName("seal"), Milliseconds(3400), now).count() == 0);
}

// Guards against one caller with an unusual deadline that makes all others look as if they had waited, and
// against a usual deadline that is remembered after callers have changed it.
BOOST_AUTO_TEST_CASE(RareAndFormerDeadlinesDoNotCount)
{
    ReturningCalls returning({});
    auto now = newCalls(returning, Milliseconds(4000), 30, Start);
    returning.waitedBefore(Pickup, Milliseconds(5000), now);
    now = newCalls(returning, Milliseconds(4000), 30, now);
    now = newCalls(returning, Milliseconds(4000), 1, now + std::chrono::seconds(60));
    now = newCalls(returning, Milliseconds(3000), 40, now);
    BOOST_TEST(returning.waitedBefore(Pickup, Milliseconds(2700), now).count() == 300);
}

// Two thirds of the calls are new and one third returns with between 0.6 and 0.95 of the deadline. Guards
// against returning calls that are taken for usual ones while many return.
BOOST_AUTO_TEST_CASE(ManyReturningCallsAreRecognised)
{
    ReturningCalls returning({});
    std::mt19937_64 random(3);
    auto now = newCalls(returning, Milliseconds(4000), 30, Start);
    int recognised = 0;
    for (int i = 0; i < 900; ++i, now += Milliseconds(20)) {
        const Milliseconds left(i % 3 == 0 ? std::uniform_int_distribution<int>(2400, 3800)(random) : 4000);
        const auto waited = returning.waitedBefore(Pickup, left, now);
        BOOST_TEST((left.count() < 4000 || waited.count() == 0));
        recognised += waited.count() > 0 ? 1 : 0;
    }
    BOOST_TEST(recognised > 290);
}

// The load of `pickups` with callers that return soon, and with callers of which most return too late for
// their objective. Guards against returning calls that are rejected again while new ones are served, and
// against an order that costs calls answered in time.
BOOST_AUTO_TEST_CASE(FewerReturningCallsAreRejectedAgain)
{
    const auto soonWithout = sumOf(Recognition::None, 60, 300);
    const auto soon = sumOf(Recognition::WhileInTime, 60, 300);
    sumOf(Recognition::Always, 60, 300);
    BOOST_TEST(rejectedAgain(soon) < 0.6 * rejectedAgain(soonWithout));
    BOOST_TEST(soon.inTime > 0.995 * soonWithout.inTime);
    const auto lateWithout = sumOf(Recognition::None, 300, 900);
    const auto late = sumOf(Recognition::WhileInTime, 300, 900);
    sumOf(Recognition::Always, 300, 900);
    BOOST_TEST(rejectedAgain(late) < rejectedAgain(lateWithout));
    BOOST_TEST(late.inTime > 0.995 * lateWithout.inTime);
}
