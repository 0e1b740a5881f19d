#include "core/fleet/targetregistration.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace Galenahill {

std::ostream &operator<<(std::ostream &stream, MemberState state)
{
    return stream << toString(state);
}

std::ostream &operator<<(std::ostream &stream, TargetRegistration::RegistrationResult result)
{
    return stream << static_cast<int>(result);
}

}

namespace {

using RegistrationResult = TargetRegistration::RegistrationResult;

const Endpoint TargetAddress{"10.1.0.8", 8301};
const TimePoint Start{Milliseconds(1000000)};

TargetAnnouncement announcement(const std::string &id, std::int64_t startedAt, std::uint64_t sequence, bool draining = false)
{
    TargetAnnouncement target;
    target.id = id;
    target.startedAt = startedAt;
    target.sequence = sequence;
    target.service = ServiceName("ventas");
    target.address = TargetAddress;
    target.slots = 6;
    target.draining = draining;
    return target;
}

TargetRegistration registration(bool firstStart)
{
    return TargetRegistration({.address = TargetAddress, .service = ServiceName("ventas"), .firstStart = firstStart});
}

}

// A target announces that it drains, and the node acknowledges it. An earlier heartbeat, delayed by
// a partition, arrives afterwards. If it were accepted, calls would be sent to a target that
// expects none after the acknowledgement.
BOOST_AUTO_TEST_CASE(LeavingIsFinalForOneStart)
{
    auto target = registration(true);
    target.targetAnnounced(announcement("i-1", 100, 1), Start);
    BOOST_TEST(target.state(Start) == MemberState::Ready);
    target.targetAnnounced(announcement("i-1", 100, 3, true), Start);
    BOOST_TEST(target.targetAnnounced(announcement("i-1", 100, 2), Start) == RegistrationResult::Stale);
    BOOST_TEST(target.state(Start) == MemberState::Draining);
    target.targetAnnounced(announcement("i-1", 100, 4), Start);
    BOOST_TEST(target.state(Start) == MemberState::Draining);
}

// The draining heartbeat arrives after a later one. Its sequence is out of date, but the target is
// draining all the same.
BOOST_AUTO_TEST_CASE(DrainingHeartbeatCountsHoweverLate)
{
    auto target = registration(true);
    target.targetAnnounced(announcement("i-1", 100, 5), Start);
    target.targetAnnounced(announcement("i-1", 100, 4, true), Start);
    BOOST_TEST(target.state(Start) == MemberState::Draining);
}

// A target restarts under its previous id: its sequence starts anew, and only the start time
// distinguishes the two starts. Late messages of the earlier start change nothing.
BOOST_AUTO_TEST_CASE(LaterStartReplacesAnEarlierOneOfTheSameId)
{
    auto target = registration(true);
    target.targetAnnounced(announcement("i-1", 100, 50), Start);
    target.leaveAnnounced("i-1", 100);
    BOOST_TEST(target.targetAnnounced(announcement("i-1", 200, 1), Start) == RegistrationResult::Accepted);
    BOOST_TEST(target.state(Start) == MemberState::Ready);
    BOOST_TEST(target.leaveAnnounced("i-1", 100) == RegistrationResult::Stale);
    BOOST_TEST(target.targetAnnounced(announcement("i-1", 100, 51, true), Start) == RegistrationResult::Stale);
    BOOST_TEST(target.state(Start) == MemberState::Ready);
}

// The node was killed after it had acknowledged that the target leaves. Its next process receives a
// heartbeat sent before that. It must not send calls before the target has passed a health check.
BOOST_AUTO_TEST_CASE(RestartedNodeChecksHealthBeforeTheFirstCall)
{
    auto target = registration(false);
    target.targetAnnounced(announcement("i-1", 100, 7), Start);
    BOOST_TEST(target.state(Start) == MemberState::Starting);
    BOOST_TEST(target.needsHealthCheck());
    target.healthChecked("i-2", true, Start);
    BOOST_TEST(target.needsHealthCheck());
    target.healthChecked("i-1", false, Start);
    BOOST_TEST(target.state(Start) == MemberState::Starting);
    target.healthChecked("i-1", true, Start);
    BOOST_TEST(target.state(Start) == MemberState::Ready);
}

// The leaving message arrives before any heartbeat, and a late heartbeat after it.
BOOST_AUTO_TEST_CASE(TargetThatLeftBeforeItsAnnouncementStaysDraining)
{
    auto target = registration(true);
    target.leaveAnnounced("i-1", std::nullopt);
    target.targetAnnounced(announcement("i-1", 100, 7), Start);
    BOOST_TEST(target.state(Start) == MemberState::Draining);
}

// A crashed target sends nothing; the node notices by the heartbeat timeout or by a refused
// connection, and accepts it again with its next heartbeat.
BOOST_AUTO_TEST_CASE(TimedOutAndUnreachableTargetsAreReadyWithTheirNextHeartbeat)
{
    auto target = registration(true);
    target.targetAnnounced(announcement("i-1", 100, 1), Start);
    const auto later = Start + Milliseconds(6001);
    BOOST_TEST(target.state(later) == MemberState::Starting);
    target.targetAnnounced(announcement("i-1", 100, 2), later);
    BOOST_TEST(target.state(later) == MemberState::Ready);
    target.targetUnreachable();
    BOOST_TEST(target.state(later) == MemberState::Starting);
    target.targetAnnounced(announcement("i-1", 100, 3), later);
    BOOST_TEST(target.state(later) == MemberState::Ready);
}

BOOST_AUTO_TEST_CASE(TargetOfAnotherVmIsForeign)
{
    auto target = registration(true);
    auto otherAddress = announcement("i-1", 100, 1);
    otherAddress.address.port = 9000;
    BOOST_TEST(target.targetAnnounced(otherAddress, Start) == RegistrationResult::Foreign);
    auto otherService = announcement("i-1", 100, 1);
    otherService.service = ServiceName("taller");
    BOOST_TEST(target.targetAnnounced(otherService, Start) == RegistrationResult::Foreign);
    BOOST_TEST(target.state(Start) == MemberState::Starting);
}
