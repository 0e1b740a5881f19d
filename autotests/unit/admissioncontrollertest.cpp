#include "core/calls/admissioncontroller.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

constexpr Milliseconds ServiceTime{20};
const RouteName Orders("orders");

// A controller with a simulated clock.
struct Fixture
{
    Fixture()
    {
        admission.setSlots(6);
    }

    std::uint32_t admitAll()
    {
        std::uint32_t admitted = 0;
        while (admission.tryAcquire(now)) {
            ++admitted;
        }
        return admitted;
    }

    // Admits as many calls as possible, and completes them all after that time.
    std::uint32_t completeAll(Milliseconds time = ServiceTime)
    {
        const auto admitted = admitAll();
        const auto begin = now;
        now += time;
        for (std::uint32_t i = 0; i < admitted; ++i) {
            admission.release(Orders, begin, AdmissionController::ReleaseReason::Answered, now);
        }
        return admitted;
    }

    AdmissionController admission;
    TimePoint now{Milliseconds(1000000)};
};

}

BOOST_FIXTURE_TEST_SUITE(admission, Fixture)

// A sidecar restarts while its target still executes six calls from before. If all slots were open
// at once, the target would get twice as many calls as it has slots, and callers would wait. The
// limit starts at one call and grows with the responses.
BOOST_AUTO_TEST_CASE(startsWithOneCallAndRampsToTheSlots)
{
    BOOST_TEST(completeAll() == 1U);
    BOOST_TEST(completeAll() == 2U);
    BOOST_TEST(completeAll() == 4U);
    BOOST_TEST(completeAll() == 6U);
    BOOST_TEST(completeAll() == 6U);
    admission.restart();
    BOOST_TEST(completeAll() == 1U);
}

// A target pauses with six calls in flight, which time out. If their slots were freed at once, six
// further calls would be lost with each timeout. The slots stay held for a while, and then a single
// call probes the target.
BOOST_AUTO_TEST_CASE(pausedTargetGetsOneCallAtATime)
{
    for (int i = 0; i < 5; ++i) {
        completeAll();
    }
    const auto begin = now;
    BOOST_TEST(admitAll() == 6U);
    now += Milliseconds(300);
    for (int i = 0; i < 6; ++i) {
        admission.release(Orders, begin, AdmissionController::ReleaseReason::TimedOut, now);
    }
    BOOST_TEST(admitAll() == 0U);
    now = admission.nextRelease();
    BOOST_TEST(admitAll() == 1U);
}

// A route's timeout is shorter than its calls take, so that all of them time out, while calls of
// other routes succeed. The target is healthy: the limit stays, and the slots are freed once the
// target had time to cancel the calls.
BOOST_AUTO_TEST_CASE(routeWithTooShortTimeoutDoesNotLowerTheLimit)
{
    for (int i = 0; i < 5; ++i) {
        completeAll();
    }
    for (int i = 0; i < 20; ++i) {
        const auto begin = now;
        BOOST_REQUIRE(admission.tryAcquire(now));
        BOOST_REQUIRE(admission.tryAcquire(now));
        now += Milliseconds(10);
        admission.release(Orders, begin, AdmissionController::ReleaseReason::Answered, now);
        admission.release(RouteName("hasty"), begin, AdmissionController::ReleaseReason::TimedOut, now);
        now += Milliseconds(30);
    }
    BOOST_TEST(admission.limit() == 6U);
    BOOST_TEST(admitAll() == 6U);
}

// A target can execute one call at a time, whatever the configuration and its load endpoint say;
// further calls only take longer. The limit follows the latency and the target's rejections down,
// but never below one call.
BOOST_AUTO_TEST_CASE(limitFollowsLatencyAndRejections)
{
    for (int i = 0; i < 5; ++i) {
        completeAll();
    }
    for (int i = 0; i < 50; ++i) {
        completeAll(ServiceTime * admission.limit());
    }
    // Three times the baseline is tolerated, so the limit settles at three to four.
    BOOST_TEST(admission.limit() <= 4U);
    for (int i = 0; i < 20; ++i) {
        const auto begin = now;
        BOOST_REQUIRE(admission.tryAcquire(now));
        now += Milliseconds(500);
        admission.release(Orders, begin, AdmissionController::ReleaseReason::Overloaded, now);
    }
    BOOST_TEST(admitAll() == 1U);
}

BOOST_AUTO_TEST_CASE(drainingRejectsFromTheMomentItStarts)
{
    BOOST_TEST(admission.tryAcquire(now));
    admission.startDraining();
    BOOST_TEST(!admission.tryAcquire(now));
    BOOST_TEST(admission.inFlight() == 1U);
}

// A configuration sets a million slots; the built-in maximum applies.
BOOST_AUTO_TEST_CASE(slotsAreCapped)
{
    admission.setSlots(1000000);
    for (int i = 0; i < 30; ++i) {
        completeAll();
    }
    BOOST_TEST(admission.limit() <= 1024U);
}

BOOST_AUTO_TEST_SUITE_END()

// Callers close their connections while their calls run, which says nothing about the target. If
// it counted as a stall or a restart, it would lower the limit, and a few such callers could
// throttle the service for all others.
BOOST_FIXTURE_TEST_CASE(cancelledCallsFreeTheirSlotsSoonAndDoNotLowerTheLimit, Fixture)
{
    while (completeAll() < 6) { }
    const auto admitted = admitAll();
    BOOST_TEST(admitted == 6U);
    for (std::uint32_t i = 0; i < admitted; ++i) {
        admission.release(Orders, now, AdmissionController::ReleaseReason::Cancelled, now);
    }
    BOOST_TEST(!admission.tryAcquire(now));
    BOOST_TEST(admission.limit() == 6U);
    now = admission.nextRelease();
    admission.releaseHeld(now);
    BOOST_TEST(admission.inFlight() == 0U);
    BOOST_TEST(admitAll() == 6U);
}
