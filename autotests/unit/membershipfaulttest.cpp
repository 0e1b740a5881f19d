#include "membershipnetwork.h"

#include "core/calls/routingview.h"
#include "core/config/configbundle.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

constexpr Milliseconds Settle{5000};
constexpr Milliseconds Minute{60000};

}

// Each datagram is lost with the given probability. If a lost Ack counted as a dead member, live
// targets would disappear from routing.
BOOST_AUTO_TEST_CASE(PacketLossDoesNotRemoveLiveMembers)
{
    for (const double loss : {0.05, 0.3}) {
        MembershipNetwork fleet(30);
        fleet.run(Settle);
        fleet.lossRatio = loss;
        std::size_t removed = 0;
        for (int second = 0; second < 120; ++second) {
            fleet.run(Milliseconds(1000));
            for (std::size_t i = 0; i < 30; ++i) {
                removed += fleet.stateSeenBy(i, (i + 1) % 30) >= MemberState::Gone ? 1 : 0;
            }
        }
        BOOST_TEST(removed == 0U);
    }
}

// Datagrams arrive twice and out of order. An older state that arrives late must not win: calls
// would be sent to a draining target, or a restarted target would get none.
BOOST_AUTO_TEST_CASE(DuplicatedAndReorderedDatagramsDoNotRevertState)
{
    MembershipNetwork fleet(30);
    fleet.run(Settle);
    fleet.reordering = true;
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

// Two groups of nodes joined through different contacts and know only themselves. One member gets
// the list of a contact in the other group. Unless it passes the list on, the groups stay separate
// fleets that route calls to their own targets only.
BOOST_AUTO_TEST_CASE(OneMemberThatKnowsBothGroupsMergesThem)
{
    MembershipNetwork fleet(20);
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

// A partition lasts until each half has declared the other gone, then heals while the store is
// unavailable. Unless members that are gone are probed as well, the halves stay apart for good.
BOOST_AUTO_TEST_CASE(LongPartitionHealsWithoutTheStore)
{
    MembershipNetwork fleet(20);
    fleet.run(Settle);
    fleet.connected = [](std::size_t from, std::size_t to) { return (from < 10) == (to < 10); };
    fleet.run(10 * Minute);
    BOOST_TEST((fleet.stateSeenBy(0, 15) == MemberState::Gone));
    BOOST_TEST((fleet.stateSeenBy(15, 0) == MemberState::Gone));
    fleet.connected = [](std::size_t, std::size_t) { return true; };
    const auto time = fleet.runUntil([&] { return fleet.allReady(); }, 5 * Minute);
    BOOST_TEST(fleet.allReady());
    BOOST_TEST_MESSAGE("healed after " << time.count() << " ms");
}

// The link of one node fails for ten minutes, so that it receives nothing from the others. If it
// declared them gone, its own callers would find no target although all run.
BOOST_AUTO_TEST_CASE(IsolatedNodeKeepsOtherMembers)
{
    MembershipNetwork fleet(20);
    fleet.run(Settle);
    fleet.connected = [](std::size_t from, std::size_t to) { return from != 3 && to != 3; };
    fleet.run(10 * Minute);
    BOOST_TEST(fleet.members[3]->live().size() == 20U);
    BOOST_TEST(fleet.members[3]->isolated(fleet.now));
    fleet.connected = [](std::size_t, std::size_t) { return true; };
    fleet.runUntil([&] { return fleet.allReady(); }, Minute);
    BOOST_TEST(fleet.allReady());
}

// A node is paused for a minute (SIGSTOP, a stalled VM) and resumes with all its timers expired. It
// must not declare anybody gone in its first tick.
BOOST_AUTO_TEST_CASE(ResumedNodeDeclaresNobodyGone)
{
    MembershipNetwork fleet(20);
    fleet.run(Settle);
    // Shortly before the pause, three members became suspect because their Acks were late.
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
    fleet.runUntil([&] { return fleet.allReady(); }, Minute);
    BOOST_TEST(fleet.allReady());
}

// A node restarts on a VM whose clock is an hour behind, so that its incarnation is below the known
// one. Unless it refutes the old record that others send it, its state is never accepted and its
// target gets no calls.
BOOST_AUTO_TEST_CASE(RestartWithClockBehindIsAccepted)
{
    MembershipNetwork fleet(20);
    fleet.run(Settle);
    fleet.members[3]->setState(MemberState::Left, fleet.now);
    fleet.run(Milliseconds(3000));
    fleet.incarnations[3] = 5;
    fleet.start(3);
    fleet.members[3]->merge(fleet.recordsOf(2), fleet.now);
    fleet.runUntil([&] { return fleet.allReady(); }, Minute);
    BOOST_TEST(fleet.allReady());
}

// A target drains in a fleet of 200 while one datagram in twenty is lost. All members must know
// within 3 s, or new calls are sent to a target that is leaving.
BOOST_AUTO_TEST_CASE(DrainingIsKnownEverywhereWithinThreeSecondsAt200)
{
    MembershipNetwork fleet(200);
    fleet.run(Settle);
    fleet.lossRatio = 0.05;
    fleet.members[7]->setState(MemberState::Draining, fleet.now);
    const auto time = fleet.runUntil([&] { return fleet.allSee(7, MemberState::Draining); }, Minute);
    BOOST_TEST(time.count() <= 3000);
}

// A node announces that it leaves, then the state of its target changes. This must not make the
// node live again, or calls are sent to it while it stops.
BOOST_AUTO_TEST_CASE(StateChangeAfterLeavingIsIgnored)
{
    MembershipNetwork fleet(10);
    fleet.run(Settle);
    fleet.members[3]->setState(MemberState::Left, fleet.now);
    fleet.members[3]->setState(MemberState::Ready, fleet.now);
    fleet.run(Milliseconds(3000));
    BOOST_TEST(fleet.allSee(3, MemberState::Left));
}

// A member that left is purged after the retention time. A record of it that arrives later must not
// add it again.
BOOST_AUTO_TEST_CASE(PurgedMemberIsNotAddedAgain)
{
    MembershipNetwork fleet(10);
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

// A corrupt or forged datagram claims that a member is gone, with the highest possible
// incarnation. If it were accepted, the member could never refute it.
BOOST_AUTO_TEST_CASE(InvalidRecordsAreRejected)
{
    MembershipNetwork fleet(10);
    fleet.run(Settle);
    auto forged = fleet.members[3]->self();
    forged.incarnation = UINT64_MAX;
    forged.state = MemberState::Gone;
    fleet.members[0]->merge({forged}, fleet.now);
    fleet.members[3]->merge({forged}, fleet.now);
    fleet.run(Milliseconds(10000));
    BOOST_TEST(fleet.allReady());
    forged.incarnation = 1;
    forged.state = static_cast<MemberState>(77);
    BOOST_TEST(!isValidRecord(forged));
}

// All targets of a service are declared gone at once, as when a switch fails. A routing view
// without targets would reject every call although the targets may still run; only targets that
// left themselves stay out.
BOOST_AUTO_TEST_CASE(MassLossDoesNotEmptyRouting)
{
    ConfigBundle bundle;
    const std::string text = "[service tablero]\ndata-centres = rosario-a\nslots = 6\nconnections = 120\n";
    const auto snapshot = ConfigSnapshot::validate({{FileName("s.ini"), text}});
    BOOST_REQUIRE(snapshot.has_value());
    auto config = std::make_shared<ConfigRevision>();
    config->snapshot = *snapshot;
    MembershipNetwork fleet(4);
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

// A node is stopped as planned and restarts while the store is unavailable, so that it knows no
// other member. The others must probe it although it has left: otherwise its target gets no calls
// until the store is back, and a rolling restart disables one target after the other.
BOOST_AUTO_TEST_CASE(RestartedMemberIsFoundWithoutTheStore)
{
    MembershipNetwork fleet(12, [](Membership::Options &options) { options.reconnectInterval = Milliseconds(1000); });
    fleet.run(Settle);
    fleet.members[4]->setState(MemberState::Left, fleet.now);
    fleet.run(Milliseconds(1000));
    fleet.stopped.insert(4);
    fleet.run(Milliseconds(1500));
    fleet.incarnations[4] += 100;
    fleet.start(4);
    fleet.stopped.erase(4);
    const auto time = fleet.runUntil([&] { return fleet.allReady(); }, Minute);
    BOOST_TEST_MESSAGE("the restarted member is known after ms: " << time.count());
    BOOST_TEST(time < Milliseconds(5000));
}

// All members but one lose power at once, among them all watchers of the store. The survivor
// declares nobody gone for some seconds and would miss changes meanwhile. It must detect soon that
// nobody answers, so that it watches the store itself.
BOOST_AUTO_TEST_CASE(LoneSurvivorDetectsSoonThatNobodyAnswers)
{
    MembershipNetwork fleet(12);
    fleet.run(Settle);
    BOOST_TEST(!fleet.members[3]->lastProbeUnanswered());
    for (std::size_t i = 0; i < 12; ++i) {
        if (i != 3) {
            fleet.stopped.insert(i);
        }
    }
    const auto time = fleet.runUntil([&] { return fleet.members[3]->lastProbeUnanswered(); }, Minute);
    BOOST_TEST(time <= Milliseconds(1400));
    fleet.stopped.erase(5);
    fleet.runUntil([&] { return !fleet.members[3]->lastProbeUnanswered(); }, Minute);
    BOOST_TEST(!fleet.members[3]->lastProbeUnanswered());
}
