#include "core/calls/targetpicker.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

using namespace Galenahill;

namespace {

const ServiceName Service("tablero");

// Four targets, the first of them in the local data centre.
struct Fixture
{
    Fixture()
    {
        for (int i = 0; i < 4; ++i) {
            MemberRecord record;
            record.name = NodeName("n" + std::to_string(i));
            record.dataCentre = DataCentre(i == 0 ? "rosario-a" : "cordoba-a");
            targets.push_back(record);
        }
    }

    std::map<std::string, int> pickMany(int count = 300)
    {
        std::map<std::string, int> picked;
        for (int i = 0; i < count; ++i) {
            const auto *target = picker.pick(targets, {}, now);
            BOOST_REQUIRE(target != nullptr);
            ++picked[target->name.value()];
        }
        return picked;
    }

    void fail(std::size_t target, int times)
    {
        for (int i = 0; i < times; ++i) {
            picker.attemptFailed(Service, targets[target].name, now);
        }
    }

    TargetPicker picker{{.dataCentre = DataCentre("rosario-a")}};
    std::vector<MemberRecord> targets;
    TimePoint now{Milliseconds(1000000)};
};

}

BOOST_FIXTURE_TEST_SUITE(picking, Fixture)

BOOST_AUTO_TEST_CASE(staysInTheLocalDataCentreUntilItIsFull)
{
    BOOST_TEST(pickMany().size() == 1U);
    picker.updateReportedLoad(targets[0].name, {.calls = 6, .limit = 6}, now);
    BOOST_TEST(pickMany().count("n0") == 0U);
    now += Milliseconds(600);
    BOOST_TEST(pickMany().count("n0") == 1U);
}

// All targets report that they are full. A first attempt still goes to the least loaded one, whose
// report may be old; a retry would only be rejected again.
BOOST_AUTO_TEST_CASE(fullServiceGetsNoRetries)
{
    for (const auto &target : targets) {
        picker.updateReportedLoad(target.name, {.calls = 6, .limit = 6}, now);
    }
    BOOST_TEST(picker.pick(targets, {}, now) != nullptr);
    BOOST_TEST(picker.pick(targets, {targets[0].name}, now, true) == nullptr);
}

// Guards against callers that are told the wait of the one target that looks best, or a wait of zero while
// nothing is known.
BOOST_AUTO_TEST_CASE(backlogIsTheMeanWaitOfTheBestDataCentre)
{
    BOOST_TEST(!picker.backlog(targets, now).has_value());
    BOOST_TEST(!picker.shortestWait(targets, now).has_value());
    picker.updateTargetLoad(targets[1].name, {.calls = 18, .limit = 18}, Milliseconds(100), now);
    picker.updateTargetLoad(targets[2].name, {.calls = 30, .limit = 18}, Milliseconds(300), now);
    BOOST_TEST(picker.backlog(targets, now).value().count() == 215);
    BOOST_TEST(!picker.shortestWait(targets, now).has_value());
    picker.updateTargetLoad(targets[3].name, {.calls = 30, .limit = 18}, Milliseconds(200), now);
    picker.updateTargetLoad(targets[0].name, {.calls = 36, .limit = 18}, Milliseconds(400), now);
    BOOST_TEST(picker.backlog(targets, now).value().count() == 215);
    BOOST_TEST(picker.shortestWait(targets, now).value().count() == 115);
    BOOST_TEST(!picker.backlog(targets, now + std::chrono::seconds(5)).has_value());
}

// Target 0 is paused and attempts time out. It is ejected, longer each time; one success resets it.
BOOST_AUTO_TEST_CASE(failingTargetIsEjected)
{
    fail(0, 2);
    BOOST_TEST(pickMany().count("n0") == 1U);
    fail(0, 1);
    BOOST_TEST(pickMany().count("n0") == 0U);
    now += Milliseconds(501);
    BOOST_TEST(pickMany().count("n0") == 1U);
    fail(0, 1);
    now += Milliseconds(501);
    BOOST_TEST(pickMany().count("n0") == 0U);
    now += Milliseconds(501);
    picker.attemptSucceeded(Service, targets[0].name);
    fail(0, 2);
    BOOST_TEST(pickMany().count("n0") == 1U);
}

// Each target of a service rejects half of its calls for some seconds. Runs of three failures are
// then common and say nothing about a target; ejecting targets for them, two of four at a time,
// would leave the rest with twice their load. Each target must go on getting about a quarter.
BOOST_AUTO_TEST_CASE(aServiceThatRejectsHalfOfItsCallsKeepsAllTargets)
{
    for (auto &target : targets) {
        target.dataCentre = DataCentre("rosario-a");
    }
    std::mt19937 random(5);
    std::map<std::string, int> picked;
    constexpr int Calls = 2000;
    for (int call = 0; call < Calls; ++call) {
        now += Milliseconds(4);
        const auto *target = picker.pick(targets, {}, now);
        ++picked[target->name.value()];
        if (random() % 100 < 55) {
            picker.attemptFailed(Service, target->name, now);
        } else {
            picker.attemptSucceeded(Service, target->name);
        }
    }
    for (const auto &target : targets) {
        BOOST_TEST(picked[target.name.value()] > Calls / 5, target.name.value());
    }
}

// A shared failure (the network, or a call that breaks every target) makes three of four targets
// fail. If all three stayed ejected, the last one would get four times its load and fail as well,
// so none is.
BOOST_AUTO_TEST_CASE(neverEjectsMostOfAService)
{
    fail(1, 3);
    fail(2, 3);
    picker.updateReportedLoad(targets[0].name, {.calls = 6, .limit = 6}, now);
    BOOST_TEST(pickMany().size() == 1U);
    fail(3, 3);
    picker.updateReportedLoad(targets[0].name, {.calls = 6, .limit = 6}, now);
    BOOST_TEST(pickMany().size() == 3U);
}

// A draining target reports a limit of zero; it is used only if there is nothing else, although it
// executes fewer calls than the others, which are all full.
BOOST_AUTO_TEST_CASE(drainingTargetIsLastResort)
{
    for (const auto &target : targets) {
        picker.updateReportedLoad(target.name, {.calls = 9, .limit = 6}, now);
    }
    picker.updateReportedLoad(targets[0].name, {.calls = 0, .limit = 0}, now);
    BOOST_TEST(pickMany().count("n0") == 0U);
    BOOST_TEST(picker.pick({targets[0]}, {}, now) != nullptr);
    BOOST_TEST(picker.pick({targets[0]}, {targets[0].name}, now) == nullptr);
}

// A service has several idle targets in a data centre. If the choice of where to queue always fell
// on the first of equals, every node would send its calls there until it is full and rejects them.
BOOST_AUTO_TEST_CASE(EqualWaitsAreSpreadOverTheTargets)
{
    for (auto &target : targets) {
        target.dataCentre = DataCentre("rosario-a");
    }
    std::map<std::string, int> picked;
    constexpr int Calls = 400;
    for (int i = 0; i < Calls; ++i) {
        ++picked[picker.selectForQueueing(targets, {}, now)->name.value()];
    }
    BOOST_TEST(picked.size() == targets.size());
    for (const auto &[name, count] : picked) {
        BOOST_TEST(count > Calls / 8, name << " " << count);
    }
}

// A shorter wait goes before an equal distribution, and a remote data centre counts as a longer wait.
BOOST_AUTO_TEST_CASE(TheShortestWaitIsChosen)
{
    for (const auto &target : targets) {
        picker.updateReportedLoad(target.name, {.calls = 7, .limit = 6}, now);
        picker.updateExpectedWait(target.name, Milliseconds(80), now);
    }
    picker.updateExpectedWait(targets[2].name, Milliseconds(30), now);
    BOOST_TEST(picker.selectForQueueing(targets, {}, now)->name == targets[2].name);
    picker.updateExpectedWait(targets[0].name, Milliseconds(40), now);
    BOOST_TEST(picker.selectForQueueing(targets, {}, now)->name == targets[0].name);
}

// Guards against a full data centre that keeps its calls because one of its targets always counts
// as free, since the report of its wait has expired.
BOOST_AUTO_TEST_CASE(AnExpiredReportIsReplacedByThePoolsWait)
{
    for (auto &target : targets) {
        target.service = Service;
        picker.updateReportedLoad(target.name, {.calls = 7, .limit = 6}, now);
        picker.updateExpectedWait(target.name, Milliseconds(target.name == targets[0].name ? 50 : 0), now);
    }
    now += Milliseconds(600);
    picker.updatePoolLoad(targets[0].dataCentre, Service, {.calls = 7, .limit = 6}, Milliseconds(50), now);
    picker.updatePoolLoad(targets[1].dataCentre, Service, {.calls = 3, .limit = 18}, Milliseconds(0), now);
    BOOST_TEST(picker.selectForQueueing(targets, {}, now)->dataCentre == targets[1].dataCentre);
    picker.updatePoolLoad(targets[1].dataCentre, Service, {.calls = 21, .limit = 18}, Milliseconds(50), now + Milliseconds(1));
    BOOST_TEST(picker.selectForQueueing(targets, {}, now + Milliseconds(2))->dataCentre == targets[0].dataCentre);
}

BOOST_AUTO_TEST_CASE(OverflowGoesOnlyToDataCentresWithFreeSlots)
{
    for (auto &target : targets) {
        target.service = Service;
    }
    BOOST_TEST(picker.pickOverflow(targets, {}, now) == nullptr);
    picker.updatePoolLoad(targets[1].dataCentre, Service, {.calls = 18, .limit = 18}, Milliseconds(0), now);
    BOOST_TEST(picker.pickOverflow(targets, {}, now) == nullptr);
    picker.updatePoolLoad(targets[1].dataCentre, Service, {.calls = 9, .limit = 18}, Milliseconds(0), now + Milliseconds(1));
    const auto *target = picker.pickOverflow(targets, {}, now + Milliseconds(2));
    BOOST_REQUIRE(target != nullptr);
    BOOST_TEST(target->dataCentre == targets[1].dataCentre);
    BOOST_TEST(picker.pickOverflow(targets, {}, now + Milliseconds(4000)) == nullptr);
}

// A late report must not replace the load from a later response.
BOOST_AUTO_TEST_CASE(ALateReportDoesNotReplaceALaterResponse)
{
    picker.updateReportedLoad(targets[0].name, {.calls = 6, .limit = 6}, now);
    picker.updateTargetLoad(targets[0].name, {.calls = 0, .limit = 6}, Milliseconds(0), now - Milliseconds(100));
    BOOST_TEST(!picker.mayHaveFreeSlot(targets[0].name, now));
    picker.updateTargetLoad(targets[0].name, {.calls = 0, .limit = 6}, Milliseconds(0), now + Milliseconds(100));
    BOOST_TEST(picker.mayHaveFreeSlot(targets[0].name, now + Milliseconds(100)));
}

BOOST_AUTO_TEST_SUITE_END()
