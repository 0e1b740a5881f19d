#include "core/fleet/targetregistration.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace Galenahill {

std::ostream &operator<<(std::ostream &stream, MemberState state)
{
    return stream << toString(state);
}

std::ostream &operator<<(std::ostream &stream, TargetRegistration::Verdict verdict)
{
    return stream << static_cast<int>(verdict);
}

}

namespace {

using Verdict = TargetRegistration::Verdict;

const Endpoint Here{"10.1.0.8", 8301};
const TimePoint Start{Milliseconds(1000000)};

TargetAnnouncement announcement(const std::string &id, std::int64_t startedAt, std::uint64_t sequence, bool draining = false)
{
    TargetAnnouncement target;
    target.id = id;
    target.startedAt = startedAt;
    target.sequence = sequence;
    target.service = ServiceName("ventas");
    target.address = Here;
    target.slots = 6;
    target.draining = draining;
    return target;
}

TargetRegistration registration(bool firstStart)
{
    return TargetRegistration({.address = Here, .service = ServiceName("ventas"), .firstStart = firstStart});
}

}

// A target says that it drains, and the node acknowledges it. An earlier
// heartbeat that a partition held up arrives only then. Taken for news, it would
// open the door to a target that was promised no more calls.
BOOST_AUTO_TEST_CASE(LeavingIsFinalForOneStart)
{
    auto target = registration(true);
    target.announced(announcement("i-1", 100, 1), Start);
    BOOST_TEST(target.state(Start) == MemberState::Ready);
    target.announced(announcement("i-1", 100, 3, true), Start);
    BOOST_TEST(target.announced(announcement("i-1", 100, 2), Start) == Verdict::Stale);
    BOOST_TEST(target.state(Start) == MemberState::Draining);
    target.announced(announcement("i-1", 100, 4), Start);
    BOOST_TEST(target.state(Start) == MemberState::Draining);
}

// The draining heartbeat overtakes an earlier one. Its number is behind what is
// known then, but what it says stays true.
BOOST_AUTO_TEST_CASE(ADrainingHeartbeatCountsHoweverLate)
{
    auto target = registration(true);
    target.announced(announcement("i-1", 100, 5), Start);
    target.announced(announcement("i-1", 100, 4, true), Start);
    BOOST_TEST(target.state(Start) == MemberState::Draining);
}

// A target starts again under the id that it had: its numbers begin anew, and
// only the time of its start tells. What the start before it still says, late,
// changes nothing.
BOOST_AUTO_TEST_CASE(ALaterStartReplacesAnEarlierOneOfTheSameId)
{
    auto target = registration(true);
    target.announced(announcement("i-1", 100, 50), Start);
    target.left("i-1", 100);
    BOOST_TEST(target.announced(announcement("i-1", 200, 1), Start) == Verdict::Taken);
    BOOST_TEST(target.state(Start) == MemberState::Ready);
    BOOST_TEST(target.left("i-1", 100) == Verdict::Stale);
    BOOST_TEST(target.announced(announcement("i-1", 100, 51, true), Start) == Verdict::Stale);
    BOOST_TEST(target.state(Start) == MemberState::Ready);
}

// The node was killed after it had acknowledged that the target leaves. The
// process that takes its place hears a heartbeat that was under way all the
// while. It must not send calls before the target itself has been asked.
BOOST_AUTO_TEST_CASE(ARestartedNodeAsksBeforeTheFirstCall)
{
    auto target = registration(false);
    target.announced(announcement("i-1", 100, 7), Start);
    BOOST_TEST(target.state(Start) == MemberState::Starting);
    BOOST_TEST(target.needsCheck());
    target.checked("i-2", true, Start);
    BOOST_TEST(target.needsCheck());
    target.checked("i-1", false, Start);
    BOOST_TEST(target.state(Start) == MemberState::Starting);
    target.checked("i-1", true, Start);
    BOOST_TEST(target.state(Start) == MemberState::Ready);
}

// The leaving arrives before any heartbeat does, and a late heartbeat after it.
BOOST_AUTO_TEST_CASE(ATargetThatLeftUnheardStaysOut)
{
    auto target = registration(true);
    target.left("i-1", std::nullopt);
    target.announced(announcement("i-1", 100, 7), Start);
    BOOST_TEST(target.state(Start) == MemberState::Draining);
}

// A crashed target says nothing; the node notices by silence or by a refused
// connection, and takes it back with its next word.
BOOST_AUTO_TEST_CASE(SilentAndLostTargetsComeBackWithTheirNextWord)
{
    auto target = registration(true);
    target.announced(announcement("i-1", 100, 1), Start);
    const auto later = Start + Milliseconds(6001);
    BOOST_TEST(target.state(later) == MemberState::Starting);
    target.announced(announcement("i-1", 100, 2), later);
    BOOST_TEST(target.state(later) == MemberState::Ready);
    target.lost();
    BOOST_TEST(target.state(later) == MemberState::Starting);
    target.announced(announcement("i-1", 100, 3), later);
    BOOST_TEST(target.state(later) == MemberState::Ready);
}

BOOST_AUTO_TEST_CASE(AnotherVmsTargetIsForeign)
{
    auto target = registration(true);
    auto elsewhere = announcement("i-1", 100, 1);
    elsewhere.address.port = 9000;
    BOOST_TEST(target.announced(elsewhere, Start) == Verdict::Foreign);
    auto other = announcement("i-1", 100, 1);
    other.service = ServiceName("taller");
    BOOST_TEST(target.announced(other, Start) == Verdict::Foreign);
    BOOST_TEST(target.state(Start) == MemberState::Starting);
}
