#include "core/calls/retryafter.h"

#include "loadsimulation.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;
using namespace Galenahill::Test;
using Return = LoadSimulation::Options::Return;

namespace {

const ServiceName Service("board");
const TimePoint Start(std::chrono::seconds(1000));

// Lets a call be answered every 50 ms for five seconds.
TimePoint answerCalls(RetryAfter &retryAfter)
{
    auto now = Start;
    for (int i = 0; i < 100; ++i, now += Milliseconds(50)) {
        retryAfter.callAnswered(Service, now);
    }
    return now;
}

// A service of 48 targets with 18 slots and calls of 440 ms in three data centres, at 80% of its capacity and
// 1.4 times that for three of ten seconds. Objective 1,000 ms, wait for a slot at most 150 ms.
LoadSimulation::Options burst()
{
    LoadSimulation::Options options;
    options.dataCentres = 3;
    options.targets = 16;
    options.members = 27;
    options.slots = 18;
    options.workMs = 440;
    options.speeds = {0.8, 1.0, 1.2};
    options.load = 0.8;
    options.burstLoad = 1.3;
    options.burstFrom = Milliseconds(3000);
    options.burstUntil = Milliseconds(6000);
    options.objective = Milliseconds(1000);
    options.maxWait = Milliseconds(150);
    options.length = Milliseconds(10000);
    return options;
}

LoadSimulation::Result sumOf(Return returns, bool returningGoFirst = true)
{
    LoadSimulation::Result sum;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        auto options = burst();
        options.seed = seed;
        options.returns = returns;
        options.returningGoFirst = returningGoFirst;
        const auto result = LoadSimulation(options).run();
        sum.calls += result.calls;
        sum.inTime += result.inTime;
        sum.late += result.late;
        sum.refused += result.refused;
        sum.refusedAgain += result.refusedAgain;
        sum.returned += result.returned;
    }
    BOOST_TEST_MESSAGE("told " << static_cast<int>(returns) << ", go first " << returningGoFirst << ": calls " << sum.calls << ", in time " << sum.inTime
                               << ", late " << sum.late << ", returned " << sum.returned << ", rejected again " << sum.refusedAgain);
    return sum;
}

}

// Guards against a delay that callers do not honour, and against a zero delay.
BOOST_AUTO_TEST_CASE(TheDelayIsAtMostAThirdOfTheTimeLeft)
{
    RetryAfter retryAfter(1);
    const RetryAfter::Rejection rejection{.service = Service, .backlog = Milliseconds(900), .timeLeft = Milliseconds(1500)};
    BOOST_TEST(retryAfter.delay(rejection, Start).count() == 500);
    const auto now = answerCalls(retryAfter);
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(retryAfter.delay(rejection, now).count() <= 500);
    }
    BOOST_TEST(retryAfter.delay({.service = Service}, now).count() == 1);
}

// Guards against callers rejected together that return together.
BOOST_AUTO_TEST_CASE(CallersReturnOneAfterTheOther)
{
    RetryAfter retryAfter(1);
    const auto now = answerCalls(retryAfter);
    const auto spacing = std::chrono::duration_cast<Milliseconds>(retryAfter.spacing(Service, now)).count();
    BOOST_TEST(spacing > 9);
    BOOST_TEST(spacing < 16);
    const RetryAfter::Rejection rejection{.service = Service, .backlog = Milliseconds(200), .timeLeft = Milliseconds(4000)};
    for (int i = 0; i < 20; ++i) {
        const auto delay = retryAfter.delay(rejection, now).count();
        BOOST_TEST(delay >= 200 + i * spacing);
        BOOST_TEST(delay <= 200 + (i + 1) * (spacing + 1));
    }
    // Another service has its own order of return.
    BOOST_TEST(retryAfter.delay({.service = ServiceName("other"), .backlog = Milliseconds(200), .timeLeft = Milliseconds(4000)}, now).count() <= 300);
}

// Guards against callers that are told a time at which they are late, for the sake of the order of returns.
BOOST_AUTO_TEST_CASE(PlacesAreWithinTheObjective)
{
    RetryAfter retryAfter(1);
    const auto now = answerCalls(retryAfter);
    for (int i = 0; i < 100; ++i) {
        const RetryAfter::Rejection rejection{
            .service = Service, .backlog = Milliseconds(100), .timeLeft = Milliseconds(4000), .returnWithin = Milliseconds(300)};
        BOOST_TEST(retryAfter.delay(rejection, now).count() <= 300);
    }
}

// Guards against places that are kept for callers that do not return, and against callers that return
// later than they need to after the others have.
BOOST_AUTO_TEST_CASE(OnlyReturningCallersTakeAPlace)
{
    RetryAfter retryAfter(1);
    const auto now = answerCalls(retryAfter);
    RetryAfter::Rejection rejection{.service = Service, .backlog = Milliseconds(100), .timeLeft = Milliseconds(4000), .willReturn = false};
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(retryAfter.delay(rejection, now).count() <= 150);
    }
    rejection.willReturn = true;
    BOOST_TEST(retryAfter.delay(rejection, now).count() <= 100 + 16);
    const auto later = now + std::chrono::seconds(1);
    const auto spacing = std::chrono::duration_cast<Milliseconds>(retryAfter.spacing(Service, later)).count();
    BOOST_TEST(retryAfter.delay(rejection, later).count() <= 100 + spacing + 1);
}

// The load of `burst`. Guards against callers that are told to return while the fleet is still full, and
// against returns that cost calls answered in time.
BOOST_AUTO_TEST_CASE(ReturningCallersFindASlot)
{
    const auto before = sumOf(Return::LowestWait, false);
    const auto lowest = sumOf(Return::LowestWait);
    sumOf(Return::Backlog);
    sumOf(Return::SpacedBacklog);
    const auto spaced = sumOf(Return::SpacedWithinObjective);
    const auto again = [](const auto &result) { return static_cast<double>(result.refusedAgain) / static_cast<double>(result.returned); };
    BOOST_TEST(again(spaced) < 0.75 * again(before));
    const auto inTime = [](const auto &result) { return static_cast<double>(result.inTime) / static_cast<double>(result.calls); };
    BOOST_TEST(inTime(spaced) > inTime(lowest));
    BOOST_TEST(inTime(spaced) > inTime(before) - 0.01);
}
