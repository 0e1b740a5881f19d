#include "core/calls/admissioncontroller.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

constexpr Milliseconds ServiceTime{20};
const RouteName Orders("orders");

// A controller on a clock in memory.
struct Fixture
{
    Fixture()
    {
        admission.setSlots(6);
    }

    std::uint32_t enterAll()
    {
        std::uint32_t entered = 0;
        while (admission.tryEnter(now)) {
            ++entered;
        }
        return entered;
    }

    // All calls that may enter do and are answered after that time.
    std::uint32_t round(Milliseconds time = ServiceTime)
    {
        const auto entered = enterAll();
        const auto begin = now;
        now += time;
        for (std::uint32_t i = 0; i < entered; ++i) {
            admission.leave(Orders, begin, AdmissionController::End::Answered, now);
        }
        return entered;
    }

    AdmissionController admission;
    TimePoint now{Milliseconds(1000000)};
};

}

BOOST_FIXTURE_TEST_SUITE(admission, Fixture)

// A sidecar restarts while its target still runs six calls of the one before.
// Were all slots open at once, the target would have twice its slots to run
// and callers would wait. The first round is one call; answers open the rest.
BOOST_AUTO_TEST_CASE(startsWithOneCallAndRampsToTheSlots)
{
    BOOST_TEST(round() == 1U);
    BOOST_TEST(round() == 2U);
    BOOST_TEST(round() == 4U);
    BOOST_TEST(round() == 6U);
    BOOST_TEST(round() == 6U);
    admission.restart();
    BOOST_TEST(round() == 1U);
}

// A target freezes with six calls in flight, whose callers time out. If their
// slots came free at once, six further calls would be lost with each timeout.
// The slots stay taken for a while, and then one call finds out.
BOOST_AUTO_TEST_CASE(frozenTargetGetsOneCallAtATime)
{
    for (int i = 0; i < 5; ++i) {
        round();
    }
    const auto begin = now;
    BOOST_TEST(enterAll() == 6U);
    now += Milliseconds(300);
    for (int i = 0; i < 6; ++i) {
        admission.leave(Orders, begin, AdmissionController::End::GivenUp, now);
    }
    BOOST_TEST(enterAll() == 0U);
    now = admission.nextRelease();
    BOOST_TEST(enterAll() == 1U);
}

// A route's timeout is shorter than its calls take, so each of them is given
// up, while the other routes' calls are answered. The target is well: the
// limit stays, and the slots come free once the target had time to cancel.
BOOST_AUTO_TEST_CASE(routeWithTooShortTimeoutDoesNotLowerTheLimit)
{
    for (int i = 0; i < 5; ++i) {
        round();
    }
    for (int i = 0; i < 20; ++i) {
        const auto begin = now;
        BOOST_REQUIRE(admission.tryEnter(now));
        BOOST_REQUIRE(admission.tryEnter(now));
        now += Milliseconds(10);
        admission.leave(Orders, begin, AdmissionController::End::Answered, now);
        admission.leave(RouteName("hasty"), begin, AdmissionController::End::GivenUp, now);
        now += Milliseconds(30);
    }
    BOOST_TEST(admission.limit() == 6U);
    BOOST_TEST(enterAll() == 6U);
}

// A target can run one call, whatever the configuration and its load endpoint
// say; more of them just take longer. The limit follows the latency down, and
// the target's own refusals, but never below one call.
BOOST_AUTO_TEST_CASE(limitFollowsLatencyAndRefusals)
{
    for (int i = 0; i < 5; ++i) {
        round();
    }
    for (int i = 0; i < 50; ++i) {
        round(ServiceTime * admission.limit());
    }
    // Three times the fastest is tolerated, so it settles at three to four.
    BOOST_TEST(admission.limit() <= 4U);
    for (int i = 0; i < 20; ++i) {
        const auto begin = now;
        BOOST_REQUIRE(admission.tryEnter(now));
        now += Milliseconds(500);
        admission.leave(Orders, begin, AdmissionController::End::Shed, now);
    }
    BOOST_TEST(enterAll() == 1U);
}

BOOST_AUTO_TEST_CASE(drainingRefusesFromTheMomentItStarts)
{
    BOOST_TEST(admission.tryEnter(now));
    admission.startDraining();
    BOOST_TEST(!admission.tryEnter(now));
    BOOST_TEST(admission.inFlight() == 1U);
}

// A configuration says a million slots; the cap in the code holds.
BOOST_AUTO_TEST_CASE(slotsAreCapped)
{
    admission.setSlots(1000000);
    for (int i = 0; i < 30; ++i) {
        round();
    }
    BOOST_TEST(admission.limit() <= 1024U);
}

BOOST_AUTO_TEST_SUITE_END()

// Callers close their connections while their calls run. That says nothing
// about the target: taken for a stall or a restart it would lower the limit,
// and a few impatient callers could throttle the service for all others.
BOOST_FIXTURE_TEST_CASE(CancelledCallsFreeTheirSlotsSoonAndLeaveTheLimit, Fixture)
{
    while (round() < 6) { }
    const auto entered = enterAll();
    BOOST_TEST(entered == 6U);
    for (std::uint32_t i = 0; i < entered; ++i) {
        admission.leave(Orders, now, AdmissionController::End::Cancelled, now);
    }
    BOOST_TEST(!admission.tryEnter(now));
    BOOST_TEST(admission.limit() == 6U);
    now = admission.nextRelease();
    admission.releaseHeld(now);
    BOOST_TEST(admission.inFlight() == 0U);
    BOOST_TEST(enterAll() == 6U);
}
