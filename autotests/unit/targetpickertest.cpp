#include "core/calls/targetpicker.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

using namespace Galenahill;

namespace {

const ServiceName Service("tablero");

// Four targets, the first of them in the own data centre.
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
            picker.failed(Service, targets[target].name, now);
        }
    }

    TargetPicker picker{{.dataCentre = DataCentre("rosario-a")}};
    std::vector<MemberRecord> targets;
    TimePoint now{Milliseconds(1000000)};
};

}

BOOST_FIXTURE_TEST_SUITE(picking, Fixture)

BOOST_AUTO_TEST_CASE(staysInTheOwnDataCentreUntilItIsFull)
{
    BOOST_TEST(pickMany().size() == 1U);
    picker.reported(targets[0].name, {.calls = 6, .limit = 6}, now);
    BOOST_TEST(pickMany().count("n0") == 0U);
    now += Milliseconds(600);
    BOOST_TEST(pickMany().count("n0") == 1U);
}

// All targets say that they are full. A first attempt still goes to the least
// loaded, whose report may be old; a retry would only be refused again.
BOOST_AUTO_TEST_CASE(fullServiceGetsNoRetries)
{
    for (const auto &target : targets) {
        picker.reported(target.name, {.calls = 6, .limit = 6}, now);
    }
    BOOST_TEST(picker.pick(targets, {}, now) != nullptr);
    BOOST_TEST(picker.pick(targets, {targets[0].name}, now, true) == nullptr);
}

// Target 0 is frozen: attempts time out. It is passed over, longer each time;
// one success brings it back wholly.
BOOST_AUTO_TEST_CASE(failingTargetIsPassedOver)
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
    picker.succeeded(Service, targets[0].name);
    fail(0, 2);
    BOOST_TEST(pickMany().count("n0") == 1U);
}

// The pattern: each target of a service rejects half of its calls for some
// seconds. Runs of three failures are then common and say nothing of a target;
// ejected for them, two of four at a time left the rest twice their load. Each
// goes on getting about a quarter.
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
            picker.failed(Service, target->name, now);
        } else {
            picker.succeeded(Service, target->name);
        }
    }
    for (const auto &target : targets) {
        BOOST_TEST(picked[target.name.value()] > Calls / 5, target.name.value());
    }
}

// A fault that all share (a network, one poisonous call) makes three of four
// targets fail. With all three passed over, the last one would get four times
// its load and fail as well, so none is.
BOOST_AUTO_TEST_CASE(neverEjectsMostOfAService)
{
    fail(1, 3);
    fail(2, 3);
    picker.reported(targets[0].name, {.calls = 6, .limit = 6}, now);
    BOOST_TEST(pickMany().size() == 1U);
    fail(3, 3);
    picker.reported(targets[0].name, {.calls = 6, .limit = 6}, now);
    BOOST_TEST(pickMany().size() == 3U);
}

// A leaving target says so with a limit of zero; it is used only if there is
// nothing else, though it runs less than the others, which are all full.
BOOST_AUTO_TEST_CASE(leavingTargetIsLastResort)
{
    for (const auto &target : targets) {
        picker.reported(target.name, {.calls = 9, .limit = 6}, now);
    }
    picker.reported(targets[0].name, {.calls = 0, .limit = 0}, now);
    BOOST_TEST(pickMany().count("n0") == 0U);
    BOOST_TEST(picker.pick({targets[0]}, {}, now) != nullptr);
    BOOST_TEST(picker.pick({targets[0]}, {targets[0].name}, now) == nullptr);
}

// A data centre of a larger fleet has several targets of a service, all idle. If
// the choice of where to wait always fell on the first of equals, every node
// would send its calls to that one until it is full, and be refused there.
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

// A shorter wait goes before an equal share, and another data centre counts as
// a longer wait.
BOOST_AUTO_TEST_CASE(TheShortestWaitIsChosen)
{
    for (const auto &target : targets) {
        picker.reported(target.name, {.calls = 7, .limit = 6}, now);
        picker.updateExpectedWait(target.name, Milliseconds(80), now);
    }
    picker.updateExpectedWait(targets[2].name, Milliseconds(30), now);
    BOOST_TEST(picker.selectForQueueing(targets, {}, now)->name == targets[2].name);
    picker.updateExpectedWait(targets[0].name, Milliseconds(40), now);
    BOOST_TEST(picker.selectForQueueing(targets, {}, now)->name == targets[0].name);
}

// Guards against a full data centre that keeps its calls because some target of
// it always counts as free: what was said of its wait has grown old.
BOOST_AUTO_TEST_CASE(AnOldReportCountsAsThePeersOfTheTarget)
{
    for (auto &target : targets) {
        target.service = Service;
        picker.reported(target.name, {.calls = 7, .limit = 6}, now);
        picker.updateExpectedWait(target.name, Milliseconds(target.name == targets[0].name ? 50 : 0), now);
    }
    now += Milliseconds(600);
    picker.poolObserved(targets[0].dataCentre, Service, {.calls = 7, .limit = 6}, Milliseconds(50), now);
    picker.poolObserved(targets[1].dataCentre, Service, {.calls = 3, .limit = 18}, Milliseconds(0), now);
    BOOST_TEST(picker.selectForQueueing(targets, {}, now)->dataCentre == targets[1].dataCentre);
    picker.poolObserved(targets[1].dataCentre, Service, {.calls = 21, .limit = 18}, Milliseconds(50), now + Milliseconds(1));
    BOOST_TEST(picker.selectForQueueing(targets, {}, now + Milliseconds(2))->dataCentre == targets[0].dataCentre);
}

BOOST_AUTO_TEST_CASE(OverflowGoesOnlyToDataCentresThatAreKnownToHaveRoom)
{
    for (auto &target : targets) {
        target.service = Service;
    }
    BOOST_TEST(picker.pickOverflow(targets, {}, now) == nullptr);
    picker.poolObserved(targets[1].dataCentre, Service, {.calls = 18, .limit = 18}, Milliseconds(0), now);
    BOOST_TEST(picker.pickOverflow(targets, {}, now) == nullptr);
    picker.poolObserved(targets[1].dataCentre, Service, {.calls = 9, .limit = 18}, Milliseconds(0), now + Milliseconds(1));
    const auto *target = picker.pickOverflow(targets, {}, now + Milliseconds(2));
    BOOST_REQUIRE(target != nullptr);
    BOOST_TEST(target->dataCentre == targets[1].dataCentre);
    BOOST_TEST(picker.pickOverflow(targets, {}, now + Milliseconds(4000)) == nullptr);
}

// A late report must not replace the load that a later answer carried.
BOOST_AUTO_TEST_CASE(ALateReportDoesntReplaceALaterAnswer)
{
    picker.reported(targets[0].name, {.calls = 6, .limit = 6}, now);
    picker.loadObserved(targets[0].name, {.calls = 0, .limit = 6}, Milliseconds(0), now - Milliseconds(100));
    BOOST_TEST(!picker.mayHaveFreeSlot(targets[0].name, now));
    picker.loadObserved(targets[0].name, {.calls = 0, .limit = 6}, Milliseconds(0), now + Milliseconds(100));
    BOOST_TEST(picker.mayHaveFreeSlot(targets[0].name, now + Milliseconds(100)));
}

BOOST_AUTO_TEST_SUITE_END()
