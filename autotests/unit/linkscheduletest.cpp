#include "core/calls/linkschedule.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

constexpr std::uint64_t BodyBytes = 60000;

// A link of 7 Mbit/s, all of it for bodies.
LinkSchedule::Options slowLink()
{
    return {.bytesPerSecond = 875000, .maxTransfers = 2, .bodyFraction = 1};
}

Milliseconds untilArrival(const LinkSchedule &schedule, TimePoint now)
{
    return std::chrono::duration_cast<Milliseconds>(schedule.expectedArrival(BodyBytes, now) - now);
}

}

// Eight spreadsheets of 60 KB are uploaded at once to one target over its link of 7 Mbit/s. Accepted
// together, they would share the link for half a second, and a small call would wait behind all of
// them. Two at a time take no longer in total, and the eighth gets its expected wait.
BOOST_AUTO_TEST_CASE(ABurstOfUploadsIsQueued)
{
    const TimePoint now(std::chrono::seconds(1));
    LinkSchedule schedule(slowLink());
    BOOST_TEST(untilArrival(schedule, now).count() == 68);
    schedule.beginTransfer(BodyBytes, now);
    BOOST_TEST(schedule.canBegin());
    schedule.beginTransfer(BodyBytes, now);
    BOOST_TEST(!schedule.canBegin());
    for (int i = 0; i < 5; ++i) {
        schedule.addWaiting(BodyBytes);
    }
    BOOST_TEST(untilArrival(schedule, now).count() == 548);
}

// The expected wait of the next body shrinks while the running transfers progress.
BOOST_AUTO_TEST_CASE(TheWaitShrinksAsTransfersProgress)
{
    const TimePoint begin(std::chrono::seconds(1));
    LinkSchedule schedule(slowLink());
    schedule.beginTransfer(BodyBytes, begin);
    schedule.beginTransfer(BodyBytes, begin);
    BOOST_TEST(untilArrival(schedule, begin + Milliseconds(100)).count() == 105);
    schedule.endTransfer(begin + Milliseconds(70));
    BOOST_TEST(schedule.canBegin());
    schedule.endTransfer(begin + Milliseconds(120));
    BOOST_TEST(untilArrival(schedule, begin + Milliseconds(120)).count() == 68);
}

// A transfer is accepted, and its ingress dies before the body has arrived. The link must not count
// as busy with a body that nobody sends.
BOOST_AUTO_TEST_CASE(AnAbandonedTransferFreesTheLink)
{
    const TimePoint now(std::chrono::seconds(1));
    LinkSchedule schedule(slowLink());
    schedule.beginTransfer(100 * BodyBytes, now);
    schedule.addWaiting(BodyBytes);
    schedule.removeWaiting(BodyBytes);
    schedule.endTransfer(now + Milliseconds(50));
    BOOST_TEST(untilArrival(schedule, now + Milliseconds(50)).count() == 68);
}

// VMs with fast links, or links of unknown speed, delay no body.
BOOST_AUTO_TEST_CASE(AnUnknownLinkSpeedDelaysNothing)
{
    const TimePoint now(std::chrono::seconds(1));
    LinkSchedule schedule({});
    for (int i = 0; i < 40; ++i) {
        BOOST_TEST(schedule.canBegin());
        schedule.beginTransfer(BodyBytes, now);
    }
    BOOST_TEST(untilArrival(schedule, now).count() == 0);
}
