#include "core/calls/stopadmission.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const ServiceName Service("ventas");
const TimePoint Begin{std::chrono::hours(1)};
constexpr Milliseconds StopTime{5000};

StopAdmission::Call call(bool repeatable, Milliseconds serviceTime, Milliseconds timeLeft = Milliseconds(8000))
{
    return {.service = Service, .repeatable = repeatable, .timeLeft = timeLeft, .objective = Milliseconds(3000), .serviceTime = serviceTime};
}

}

BOOST_AUTO_TEST_CASE(AdmitsAllCallsBeforeAStop)
{
    const StopAdmission admission({});
    BOOST_TEST(admission.admits(call(false, Milliseconds(100000)), Begin));
}

// Guards against a call that a planned stop cuts off although it was known to take longer than the rest of the stop.
BOOST_AUTO_TEST_CASE(RejectsACallThatWouldOutlastTheStop)
{
    StopAdmission admission({});
    admission.beginStop(Begin + StopTime);
    for (const bool repeatable : {false, true}) {
        BOOST_TEST(admission.admits(call(repeatable, Milliseconds(500)), Begin));
        BOOST_TEST(admission.admits(call(repeatable, Milliseconds(500)), Begin + Milliseconds(3500)));
        BOOST_TEST(!admission.admits(call(repeatable, Milliseconds(500)), Begin + Milliseconds(4400)));
        BOOST_TEST(!admission.admits(call(repeatable, Milliseconds(6000)), Begin));
        BOOST_TEST(!admission.admits(call(repeatable, Milliseconds(1)), Begin + StopTime));
    }
}

// A call that must not be repeated has to fit with a larger margin.
BOOST_AUTO_TEST_CASE(LeavesMoreTimeToACallThatMustNotBeRepeated)
{
    StopAdmission admission({});
    admission.beginStop(Begin + StopTime);
    const auto late = Begin + Milliseconds(4000);
    BOOST_TEST(admission.admits(call(true, Milliseconds(500)), late));
    BOOST_TEST(!admission.admits(call(false, Milliseconds(500)), late));
}

// No call outlasts its deadline.
BOOST_AUTO_TEST_CASE(AdmitsACallWhoseDeadlineComesBeforeTheEnd)
{
    StopAdmission admission({});
    admission.beginStop(Begin + StopTime);
    BOOST_TEST(admission.admits(call(false, Milliseconds(6000), Milliseconds(400)), Begin + Milliseconds(4500)));
    BOOST_TEST(!admission.admits(call(false, Milliseconds(6000), Milliseconds(600)), Begin + Milliseconds(4500)));
}

// Without a service time of the route, that of the service applies, and without any a part of the objective.
BOOST_AUTO_TEST_CASE(EstimatesUnknownServiceTimes)
{
    StopAdmission admission({});
    admission.beginStop(Begin + StopTime);
    const auto unknown = call(true, Milliseconds(0));
    BOOST_TEST(admission.admits(unknown, Begin + Milliseconds(3500)));
    BOOST_TEST(!admission.admits(unknown, Begin + Milliseconds(3501)));
    auto withoutObjective = unknown;
    withoutObjective.objective = Milliseconds(0);
    BOOST_TEST(!admission.admits(withoutObjective, Begin));
    for (int i = 0; i < 8; ++i) {
        admission.recordAnswered(Service, std::chrono::milliseconds(100));
    }
    BOOST_TEST(admission.admits(unknown, Begin + Milliseconds(4850)));
    BOOST_TEST(!admission.admits(unknown, Begin + Milliseconds(4851)));
    BOOST_TEST(admission.admits(withoutObjective, Begin + Milliseconds(4850)));
}
