#include "core/calls/nestedreserve.h"

#include "contentionmodel.h"
#include "core/calls/callslack.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;
using namespace Galenahill::Test;
using Microseconds = std::chrono::microseconds;

namespace {

const TimePoint Start(std::chrono::seconds(1000));

enum class Reserve {
    // Nested calls only go first in the queue.
    None,
    // A quarter, or 40%, of the slots.
    Quarter,
    TwoFifths,
    NestedReserve,
    // With other margins.
    WithoutMargin,
    WholeMargin,
    DoubleMargin,
};

// One of the 33 targets of a service on a busy day, 18 slots: 14.3 searches of 810 ms and 55 lookups of
// 81 ms a second, and a burst of 2.1 times the searches for six seconds.
ContentionModel::Options searches()
{
    ContentionModel::Options options;
    options.burstUntil = options.burstFrom + Milliseconds(6000);
    options.routes = {{.name = "search", .callsPerSecond = 14.3, .serviceMs = 810, .objective = Milliseconds(4000), .priority = 2, .burst = 2.1},
        {.name = "lookup", .callsPerSecond = 55, .serviceMs = 81, .objective = Milliseconds(300), .isNested = true}};
    return options;
}

NestedReserve::Options optionsOf(Reserve reserve)
{
    NestedReserve::Options options;
    options.margin = reserve == Reserve::WithoutMargin ? 0 : reserve == Reserve::WholeMargin ? 1 : reserve == Reserve::DoubleMargin ? 2 : options.margin;
    return options;
}

struct Measured
{
    double searchesInTime = 0;
    double lookupsInTime = 0;
    // Latency of lookups that arrived during the burst.
    double lookupP99 = 0;
    double lookupMean = 0;
    // Free slots while searches queue, over the run.
    double idleSlots = 0;
};

std::uint32_t fixedSlots(Reserve reserve, std::uint32_t slots)
{
    return reserve == Reserve::Quarter ? slots / 4 : reserve == Reserve::TwoFifths ? slots * 2 / 5 : 0;
}

Measured play(ContentionModel::Options options, Reserve reserve, std::uint64_t seed)
{
    const bool isFixed = reserve == Reserve::None || reserve == Reserve::Quarter || reserve == Reserve::TwoFifths;
    CallSlack slack({});
    NestedReserve observed(optionsOf(reserve));
    options.seed = seed;
    options.started = [&](const auto &route, TimePoint now) {
        if (route.isNested) {
            observed.nestedCallStarted(0, now);
        }
    };
    options.answered = [&](const auto &route, Microseconds time) {
        slack.recordAnswered(RouteName(route.name), time);
        observed.callAnswered(route.isNested, time);
    };
    options.waitBound = [&](const auto &route) { return slack.waitBound(RouteName(route.name), route.objective).wait; };
    options.reserved = [&, isFixed](TimePoint now) { return isFixed ? fixedSlots(reserve, options.slots) : observed.slots(options.slots, now); };
    if (!isFixed) {
        options.topLevelInterval = [&](TimePoint now) { return observed.topLevelInterval(options.slots, now); };
    }
    ContentionModel model(options);
    const auto results = model.run();
    const auto &lookups = results.at("lookup");
    return {results.at("search").servedInTime(),
        lookups.servedInTime(),
        ContentionModel::Result::p99(lookups.burstLatencies),
        lookups.mean(),
        model.meanIdleSlots()};
}

// Mean over several seeds, which is also printed.
Measured meanOf(const ContentionModel::Options &options, Reserve reserve)
{
    constexpr double Seeds = 10;
    Measured mean;
    for (std::uint64_t seed = 1; seed <= static_cast<std::uint64_t>(Seeds); ++seed) {
        const auto measured = play(options, reserve, seed);
        mean.searchesInTime += measured.searchesInTime / Seeds;
        mean.lookupsInTime += measured.lookupsInTime / Seeds;
        mean.lookupP99 += measured.lookupP99 / Seeds;
        mean.lookupMean += measured.lookupMean / Seeds;
        mean.idleSlots += measured.idleSlots / Seeds;
    }
    BOOST_TEST_MESSAGE("reserve " << static_cast<int>(reserve) << ": searches in time " << mean.searchesInTime << ", lookups in time " << mean.lookupsInTime
                                  << ", lookups mean " << mean.lookupMean << " ms, p99 in the burst " << mean.lookupP99 << " ms, idle " << mean.idleSlots);
    return mean;
}

// Lets nested calls start at a steady rate until the returned time.
TimePoint startNested(NestedReserve &reserve, double callsPerSecond, TimePoint from, Milliseconds length)
{
    const auto gap = std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1 / callsPerSecond));
    auto now = from;
    for (; now < from + length; now += gap) {
        reserve.nestedCallStarted(0, now);
    }
    return now;
}

void answer(NestedReserve &reserve, Milliseconds nested, Milliseconds topLevel)
{
    for (int i = 0; i < 100; ++i) {
        reserve.callAnswered(true, nested);
        reserve.callAnswered(false, topLevel);
    }
}

}

// Guards against slots that stay unused where nothing competes.
BOOST_AUTO_TEST_CASE(NothingIsReservedWhereNothingCompetes)
{
    NestedReserve withoutNested({});
    for (int i = 0; i < 100; ++i) {
        withoutNested.callAnswered(false, Milliseconds(810));
    }
    BOOST_TEST(withoutNested.slots(18, Start) == 0U);
    BOOST_TEST(withoutNested.topLevelInterval(18, Start).count() == 0);
    NestedReserve similar({});
    answer(similar, Milliseconds(150), Milliseconds(400));
    const auto now = startNested(similar, 40, Start, Milliseconds(5000));
    BOOST_TEST(similar.slots(18, now) == 0U);
    NestedReserve onlyNested({});
    startNested(onlyNested, 40, Start, Milliseconds(5000));
    onlyNested.callAnswered(true, Milliseconds(81));
    BOOST_TEST(onlyNested.slots(18, now) == 0U);
}

// 46 lookups of 81 ms a second occupy 3.7 slots. Guards against a reserve that is larger than its bound, or that
// takes the only slots of a small target.
BOOST_AUTO_TEST_CASE(TheReserveFollowsTheNestedLoad)
{
    NestedReserve reserve({});
    answer(reserve, Milliseconds(81), Milliseconds(810));
    auto now = startNested(reserve, 46, Start, Milliseconds(5000));
    BOOST_TEST(reserve.nestedLoad(now) > 3.5);
    BOOST_TEST(reserve.nestedLoad(now) < 4);
    BOOST_TEST(reserve.slots(18, now) == 5U);
    BOOST_TEST(reserve.slots(5, now) == 0U);
    BOOST_TEST((reserve.topLevelInterval(18, now) == Microseconds(810000 / 13)));
    now = startNested(reserve, 400, now, Milliseconds(5000));
    BOOST_TEST(reserve.slots(18, now) == 7U);
    // Guards against a reserve that outlives the nested calls.
    BOOST_TEST(reserve.slots(18, now + std::chrono::seconds(5)) == 0U);
    reserve.clear();
    BOOST_TEST(reserve.slots(18, now) == 0U);
}

// The load of `searches`. Guards against lookups that wait for searches to end, against a reserve that
// leaves more slots unused than the searches can spare, and against searches rejected for it.
BOOST_AUTO_TEST_CASE(LookupsFindSlotsInABurstOfSearches)
{
    const auto none = meanOf(searches(), Reserve::None);
    const auto observed = meanOf(searches(), Reserve::NestedReserve);
    for (const auto other : {Reserve::Quarter, Reserve::TwoFifths, Reserve::WithoutMargin, Reserve::WholeMargin, Reserve::DoubleMargin}) {
        meanOf(searches(), other);
    }
    BOOST_TEST(observed.lookupMean < none.lookupMean);
    BOOST_TEST(observed.lookupP99 < 300);
    BOOST_TEST(observed.searchesInTime > none.searchesInTime - 0.02);
}

// Captures of priority 1 compete with lookups of calls of priority 2. Guards against slots that are kept
// from the captures for calls that go behind them.
BOOST_AUTO_TEST_CASE(NothingIsReservedForLessUrgentNestedCalls)
{
    NestedReserve reserve({});
    answer(reserve, Milliseconds(87), Milliseconds(700));
    for (int i = 0; i < 100; ++i) {
        reserve.topLevelCallStarted(1);
        reserve.nestedCallStarted(2, Start + Milliseconds(i * 20));
    }
    BOOST_TEST(reserve.slots(18, Start + Milliseconds(2000)) == 0U);
    const auto now = startNested(reserve, 46, Start + Milliseconds(2000), Milliseconds(5000));
    BOOST_TEST(reserve.slots(18, now) > 0U);
}

// 22 lookups of 15 ms a second occupy a third of a slot. Guards against a slot of nine that is kept for them
// and idle most of the time.
BOOST_AUTO_TEST_CASE(NothingIsReservedForLessThanOneRunningNestedCall)
{
    NestedReserve reserve({});
    answer(reserve, Milliseconds(15), Milliseconds(150));
    const auto now = startNested(reserve, 22, Start, Milliseconds(5000));
    BOOST_TEST(reserve.nestedLoad(now) < 0.5);
    BOOST_TEST(reserve.slots(9, now) == 0U);
}
