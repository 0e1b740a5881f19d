#include "membershipnetwork.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

// Limits on the traffic of the protocol. They are counted rather than timed, so that CI can enforce
// them on any machine.

BOOST_AUTO_TEST_CASE(IdleMemberSendsTwoDatagramsPerProbeInterval)
{
    MembershipNetwork fleet(50);
    fleet.run(Milliseconds(20000));
    fleet.datagrams = 0;
    std::size_t records = 0;
    fleet.sent = [&](const GossipMessage &message) { records += message.updates.size(); };
    fleet.run(Milliseconds(20000));
    // One Ping and one Ack per second, and nothing else.
    BOOST_TEST(fleet.datagrams <= 50U * 20U * 2U);
    BOOST_TEST(records == 0U);
}

BOOST_AUTO_TEST_CASE(RevisionCostsAtMostNineDatagramsPerMember)
{
    MembershipNetwork fleet(200);
    fleet.run(Milliseconds(20000));
    fleet.datagrams = 0;
    fleet.revisions[17] = Revision(2);
    fleet.members[17]->announceRevision(fleet.now);
    fleet.run(Milliseconds(1000));
    BOOST_TEST(fleet.allHold(Revision(2)));
    // Eight revision datagrams, and the probes of one second, per member.
    BOOST_TEST(fleet.datagrams <= 200U * (8U + 3U));
}

// Scenario: one of 300 members in six data centres changes its state. All must learn of it within
// two seconds, and its record may cross between data centres at most twice per member.
BOOST_AUTO_TEST_CASE(UpdatesStayMostlyWithinDataCentres)
{
    constexpr std::size_t DataCentres = 6;
    std::size_t started = 0;
    MembershipNetwork fleet(300, [&](Membership::Options &options) { options.self.dataCentre = DataCentre("dc-" + std::to_string(started++ % DataCentres)); });
    fleet.run(Milliseconds(20000));
    std::size_t records = 0;
    std::size_t crossed = 0;
    fleet.sent = [&](const GossipMessage &message) { records = message.updates.size(); };
    fleet.connected = [&](std::size_t from, std::size_t to) {
        crossed += from % DataCentres != to % DataCentres ? records : 0;
        return true;
    };
    fleet.members[17]->setState(MemberState::Draining, fleet.now);
    const auto time = fleet.runUntil([&] { return fleet.allSee(17, MemberState::Draining); }, Milliseconds(10000));
    BOOST_TEST(time.count() <= 2000);
    fleet.run(Milliseconds(3000));
    BOOST_TEST(crossed <= 600U);
}

// A single random round with a fan-out of one misses most members, and probes are disabled; callers
// of a missed member would be routed by the old revision. Each must get it from its predecessors in
// name order.
BOOST_AUTO_TEST_CASE(SuccessorsReachMissedMembers)
{
    MembershipNetwork fleet(30, [](Membership::Options &options) {
        options.fanOut = 1;
        options.revisionRounds = 1;
        options.probeInterval = Milliseconds(3600000);
    });
    fleet.run(Milliseconds(20000));
    fleet.revisions[17] = Revision(2);
    fleet.members[17]->announceRevision(fleet.now);
    const auto time = fleet.runUntil([&] { return fleet.allHold(Revision(2)); }, Milliseconds(10000));
    BOOST_TEST(time.count() <= 2000);
}

BOOST_AUTO_TEST_CASE(RevisionTakesThreeRoundsAt200)
{
    MembershipNetwork fleet(200);
    // Lets the updates of the start run out, whose datagrams would carry the revision as well.
    fleet.run(Milliseconds(20000));
    for (std::uint64_t number = 2; number < 12; ++number) {
        const auto source = number * 7 % 200;
        fleet.revisions[source] = Revision(number);
        fleet.members[source]->announceRevision(fleet.now);
        const auto time = fleet.runUntil([&] { return fleet.allHold(Revision(number)); }, Milliseconds(10000));
        BOOST_TEST(time.count() <= 350);
    }
}

// One datagram in twenty is lost, for ten revisions in a row.
BOOST_AUTO_TEST_CASE(RevisionIsEverywhereWithinThreeSecondsWithLoss)
{
    MembershipNetwork fleet(200);
    fleet.run(Milliseconds(5000));
    fleet.lossRatio = 0.05;
    for (std::uint64_t number = 2; number < 12; ++number) {
        const auto source = number * 7 % 200;
        fleet.revisions[source] = Revision(number);
        fleet.members[source]->announceRevision(fleet.now);
        const auto time = fleet.runUntil([&] { return fleet.allHold(Revision(number)); }, Milliseconds(10000));
        BOOST_TEST(time.count() <= 3000);
    }
}

BOOST_AUTO_TEST_CASE(StateChangeCostsAtMostTwentyRecordsPerMember)
{
    MembershipNetwork fleet(100);
    fleet.run(Milliseconds(20000));
    std::size_t records = 0;
    fleet.sent = [&](const GossipMessage &message) { records += message.updates.size(); };
    fleet.members[9]->setState(MemberState::Draining, fleet.now);
    fleet.run(Milliseconds(20000));
    BOOST_TEST(records <= 100U * 20U);
}

// A whole fleet starts at once, as after a power failure, each member with the list of a contact.
// Passing the lists on would be most of the traffic; each member reads its contact's list itself.
BOOST_AUTO_TEST_CASE(RestartedFleetPassesOnNoMemberLists)
{
    constexpr std::size_t Members = 60;
    MembershipNetwork fleet(Members);
    std::size_t records = 0;
    fleet.sent = [&](const GossipMessage &message) { records += message.updates.size(); };
    fleet.run(Milliseconds(20000));
    BOOST_TEST_MESSAGE("records exchanged: " << records);
    BOOST_TEST(records <= Members * Members);
}
