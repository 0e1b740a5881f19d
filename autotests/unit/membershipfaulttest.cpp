#include "memberships.h"

#include "core/calls/routingview.h"
#include "core/config/configbundle.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

constexpr Milliseconds Settle{5000};
constexpr Milliseconds Minute{60000};

}

// Each datagram is lost with the given probability. Callers would see live
// targets leave routing if a lost answer counted as a dead member.
BOOST_AUTO_TEST_CASE(LossDoesNotGiveUpLiveMembers)
{
    for (const double loss : {0.05, 0.3}) {
        Memberships fleet(30);
        fleet.run(Settle);
        fleet.lossRatio = loss;
        std::size_t givenUp = 0;
        for (int second = 0; second < 120; ++second) {
            fleet.run(Milliseconds(1000));
            for (std::size_t i = 0; i < 30; ++i) {
                givenUp += fleet.stateSeenBy(i, (i + 1) % 30) >= MemberState::Gone ? 1 : 0;
            }
        }
        BOOST_TEST(givenUp == 0U);
    }
}

// Datagrams arrive twice and in any order. An older state that arrives late
// must not win: callers would be sent to a target that is draining, or a target
// that starts anew would stay out of use.
BOOST_AUTO_TEST_CASE(DuplicatedAndCrossedDatagramsDoNotTurnAStateBack)
{
    Memberships fleet(30);
    fleet.run(Settle);
    fleet.crossing = true;
    fleet.duplicateRatio = 0.5;
    fleet.members[4]->setState(MemberState::Starting, fleet.now);
    fleet.members[4]->setState(MemberState::Ready, fleet.now);
    fleet.members[4]->setState(MemberState::Draining, fleet.now);
    fleet.run(Milliseconds(3000));
    BOOST_TEST(fleet.allSee(4, MemberState::Draining));
    fleet.members[4]->setState(MemberState::Starting, fleet.now);
    fleet.run(Minute);
    BOOST_TEST(fleet.allSee(4, MemberState::Starting));
}

// Two groups that know only themselves, as nodes that joined through contacts of
// their own. One member hears from a contact who is in the other group; it alone
// knows both, and unless it tells, the groups go on as two fleets, each of which
// routes calls to its own targets only.
BOOST_AUTO_TEST_CASE(OneMemberThatKnowsBothGroupsJoinsThem)
{
    Memberships fleet(20);
    fleet.run(Settle);
    for (std::size_t i = 0; i < 20; ++i) {
        fleet.start(i);
    }
    const auto records = fleet.recordsOf(20);
    const std::vector<MemberRecord> groups[] = {{records.begin(), records.begin() + 10}, {records.begin() + 10, records.end()}};
    for (std::size_t i = 0; i < 20; ++i) {
        fleet.members[i]->mergeFromStore(groups[i / 10], fleet.now);
    }
    fleet.run(Minute);
    BOOST_REQUIRE(fleet.members[3]->live().size() == 10U);
    fleet.members[3]->merge(groups[1], fleet.now);
    fleet.run(Minute);
    for (const auto &member : fleet.members) {
        BOOST_TEST(member->live().size() == 20U);
    }
}

// Two halves lose each other until each has given the other up, then the
// network heals, with the store down. Nobody probes a member that is gone, so
// without probing those too the halves would stay apart for ever.
BOOST_AUTO_TEST_CASE(LongPartitionHealsWithoutTheStore)
{
    Memberships fleet(20);
    fleet.run(Settle);
    fleet.connected = [](std::size_t from, std::size_t to) { return (from < 10) == (to < 10); };
    fleet.run(10 * Minute);
    BOOST_TEST((fleet.stateSeenBy(0, 15) == MemberState::Gone));
    BOOST_TEST((fleet.stateSeenBy(15, 0) == MemberState::Gone));
    fleet.connected = [](std::size_t, std::size_t) { return true; };
    const auto time = fleet.runUntil([&] { return fleet.whole(); }, 5 * Minute);
    BOOST_TEST(fleet.whole());
    BOOST_TEST_MESSAGE("healed after " << time.count() << " ms");
}

// One node's link fails for ten minutes. From its place all others are silent.
// If it gave them up, its own callers would find no target though all run.
BOOST_AUTO_TEST_CASE(IsolatedNodeDoubtsItselfFirst)
{
    Memberships fleet(20);
    fleet.run(Settle);
    fleet.connected = [](std::size_t from, std::size_t to) { return from != 3 && to != 3; };
    fleet.run(10 * Minute);
    BOOST_TEST(fleet.members[3]->live().size() == 20U);
    BOOST_TEST(fleet.members[3]->isolated(fleet.now));
    fleet.connected = [](std::size_t, std::size_t) { return true; };
    fleet.runUntil([&] { return fleet.whole(); }, Minute);
    BOOST_TEST(fleet.whole());
}

// A node is stopped for a minute (SIGSTOP, a stalled VM) and wakes with all
// its timers run out. It must not give up anybody in its first step.
BOOST_AUTO_TEST_CASE(WokenNodeGivesUpNobody)
{
    Memberships fleet(20);
    fleet.run(Settle);
    // It had just begun to suspect three members whose answers were late.
    auto suspects = fleet.recordsOf(20);
    for (std::size_t i = 5; i < 8; ++i) {
        suspects[i].state = MemberState::Suspect;
        fleet.members[3]->merge({suspects[i]}, fleet.now);
    }
    fleet.stopped.insert(3);
    fleet.run(Minute);
    fleet.stopped.clear();
    fleet.members[3]->tick(fleet.now);
    BOOST_TEST(fleet.members[3]->live().size() == 20U);
    fleet.runUntil([&] { return fleet.whole(); }, Minute);
    BOOST_TEST(fleet.whole());
}

// A node is restarted on a VM whose clock is an hour behind. Its incarnation
// is below the one that all know; without refuting it from what the others
// answer, its state would never be taken and its target stay out of use.
BOOST_AUTO_TEST_CASE(RestartWithClockBehindWins)
{
    Memberships fleet(20);
    fleet.run(Settle);
    fleet.members[3]->setState(MemberState::Left, fleet.now);
    fleet.run(Milliseconds(3000));
    fleet.incarnations[3] = 5;
    fleet.start(3);
    fleet.members[3]->merge(fleet.recordsOf(2), fleet.now);
    fleet.runUntil([&] { return fleet.whole(); }, Minute);
    BOOST_TEST(fleet.whole());
}

// A target drains in a fleet of 200 with one datagram in twenty lost. All must
// know within 3 s, or new work goes to a target that is leaving.
BOOST_AUTO_TEST_CASE(DrainingIsKnownEverywhereWithinThreeSecondsAt200)
{
    Memberships fleet(200);
    fleet.run(Settle);
    fleet.lossRatio = 0.05;
    fleet.members[7]->setState(MemberState::Draining, fleet.now);
    const auto time = fleet.runUntil([&] { return fleet.allSee(7, MemberState::Draining); }, Minute);
    BOOST_TEST(time.count() <= 3000);
}

// The node says that it leaves; then its target's health probe changes state.
// That must not bring the node back, or callers are sent to it while it stops.
BOOST_AUTO_TEST_CASE(StateChangeAfterLeavingIsIgnored)
{
    Memberships fleet(10);
    fleet.run(Settle);
    fleet.members[3]->setState(MemberState::Left, fleet.now);
    fleet.members[3]->setState(MemberState::Ready, fleet.now);
    fleet.run(Milliseconds(3000));
    BOOST_TEST(fleet.allSee(3, MemberState::Left));
}

// A member that left is forgotten after a while. A record of it that is still
// under way then must not list it again.
BOOST_AUTO_TEST_CASE(PurgedMemberStaysAway)
{
    Memberships fleet(10);
    fleet.run(Settle);
    fleet.members[3]->setState(MemberState::Left, fleet.now);
    const auto left = fleet.members[3]->self();
    fleet.run(Milliseconds(3000));
    fleet.stopped.insert(3);
    fleet.run(3 * Minute);
    BOOST_TEST(fleet.members[0]->records().size() == 9U);
    fleet.members[0]->merge({left}, fleet.now);
    fleet.run(Minute);
    for (std::size_t i = 0; i < 10; ++i) {
        BOOST_TEST((i == 3 || fleet.members[i]->records().size() == 9U));
    }
}

// A damaged or hostile datagram claims that a member is gone, with the highest
// incarnation there is. If it were taken, that member could never refute it.
BOOST_AUTO_TEST_CASE(ImplausibleRecordsAreRefused)
{
    Memberships fleet(10);
    fleet.run(Settle);
    auto forged = fleet.members[3]->self();
    forged.incarnation = UINT64_MAX;
    forged.state = MemberState::Gone;
    fleet.members[0]->merge({forged}, fleet.now);
    fleet.members[3]->merge({forged}, fleet.now);
    fleet.run(Milliseconds(10000));
    BOOST_TEST(fleet.whole());
    forged.incarnation = 1;
    forged.state = static_cast<MemberState>(77);
    BOOST_TEST(!isPlausible(forged));
}

// All targets of a service are given up at once (a switch failed). A view
// without any would refuse every call, though the targets may well run; those
// that left by themselves stay out.
BOOST_AUTO_TEST_CASE(MassLossDoesNotEmptyRouting)
{
    ConfigBundle bundle;
    const std::string text = "[service tablero]\ndata-centres = rosario-a\nslots = 6\nconnections = 120\n";
    const auto snapshot = ConfigSnapshot::validate({{FileName("s.ini"), text}});
    BOOST_REQUIRE(snapshot.has_value());
    auto config = std::make_shared<ConfigRevision>();
    config->snapshot = *snapshot;
    Memberships fleet(4);
    auto records = fleet.recordsOf(4);
    for (auto &record : records) {
        record.state = MemberState::Gone;
    }
    records[3].state = MemberState::Left;
    const auto view = RoutingView::build(config, records);
    BOOST_TEST(view->targetsOf(ServiceName("tablero")).size() == 3U);
    records[0].state = MemberState::Ready;
    const auto better = RoutingView::build(config, records);
    BOOST_TEST(better->targetsOf(ServiceName("tablero")).size() == 1U);
}

// A node is stopped as planned and starts again while the store is out, so that
// it finds nobody. The others were told that it leaves, and must look for it
// all the same: else its target stays out of use until the store is back, and a
// restart of one node after the other takes one target after the other away.
BOOST_AUTO_TEST_CASE(ARestartedMemberIsFoundWithoutTheStore)
{
    Memberships fleet(12, [](Membership::Options &options) { options.reviveInterval = Milliseconds(1000); });
    fleet.run(Settle);
    fleet.members[4]->setState(MemberState::Left, fleet.now);
    fleet.run(Milliseconds(1000));
    fleet.stopped.insert(4);
    fleet.run(Milliseconds(1500));
    fleet.incarnations[4] += 100;
    fleet.start(4);
    fleet.stopped.erase(4);
    const auto time = fleet.runUntil([&] { return fleet.whole(); }, Minute);
    BOOST_TEST_MESSAGE("the restarted member is known after ms: " << time.count());
    BOOST_TEST(time < Milliseconds(5000));
}

// All members but one lose power at once, and with them all that watch the store.
// The one that is left gives nobody up for seconds, and would learn of no change
// meanwhile. It must know soon that nobody answers, so that it watches itself.
BOOST_AUTO_TEST_CASE(ALoneSurvivorKnowsSoonThatNobodyAnswers)
{
    Memberships fleet(12);
    fleet.run(Settle);
    BOOST_TEST(!fleet.members[3]->unanswered());
    for (std::size_t i = 0; i < 12; ++i) {
        if (i != 3) {
            fleet.stopped.insert(i);
        }
    }
    const auto time = fleet.runUntil([&] { return fleet.members[3]->unanswered(); }, Minute);
    BOOST_TEST(time <= Milliseconds(1400));
    fleet.stopped.erase(5);
    fleet.runUntil([&] { return !fleet.members[3]->unanswered(); }, Minute);
    BOOST_TEST(!fleet.members[3]->unanswered());
}
