#include "lostchecks.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

constexpr std::size_t Ingress = 0;
constexpr std::size_t Sidecar = 1;
constexpr std::size_t LargeBytes = 90000;

TimePoint at(double seconds)
{
    return TimePoint() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1000 + seconds));
}

std::chrono::microseconds timeOf(double seconds)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(at(seconds).time_since_epoch());
}

// A call sent at second 0 with a timeout of 4 s that runs from 0.1 s to 2 s, and is closed at 1 s.
LostRecords closedCall()
{
    LostRecords records;
    CallRecord call;
    call.id = "c";
    call.path = "/a/1";
    call.ingress = Ingress;
    call.timeout = Milliseconds(4000);
    call.sentAt = at(0);
    call.endedAt = at(1);
    call.end = CallEnd::ClosedBeforeResponse;
    call.outcome = CallOutcome::Unknown;
    records.calls.push_back(call);
    TargetHistory target;
    target.target = "t";
    target.node = Sidecar;
    target.arrivals.push_back({"c", timeOf(0.1)});
    target.executions.push_back({"c", timeOf(0.1)});
    target.cuts.push_back({"c", timeOf(2)});
    records.targets.push_back(target);
    return records;
}

PlannedWork stopOf(std::size_t node, double time)
{
    return {.kind = PlannedWork::Kind::Stop, .node = node, .begin = at(time), .end = TimePoint()};
}

LostRecords cutInStop()
{
    auto records = closedCall();
    records.planned.push_back(stopOf(Ingress, 0.5));
    return records;
}

// The node's own 502 at 1 s, in the stop of the node beside the target.
LostRecords answeredInStop()
{
    auto records = closedCall();
    auto &call = records.calls.front();
    call.end = CallEnd::Response;
    call.status = 502;
    records.planned.push_back(stopOf(Sidecar, 0.5));
    return records;
}

// A large response that the target had produced at 0.5 s.
LostRecords largeResponse()
{
    auto records = closedCall();
    auto &call = records.calls.front();
    call.end = CallEnd::ClosedInResponse;
    call.responseBytes = LargeBytes;
    call.receivedBytes = LargeBytes / 2;
    auto &target = records.targets.front();
    target.cuts.clear();
    target.responses.push_back({"c", timeOf(0.5)});
    return records;
}

void setRunEnd(LostRecords &records, double seconds)
{
    records.targets.front().cuts.front().time = timeOf(seconds);
}

std::size_t lost(const LostRecords &records)
{
    return lostCalls(records).aroundPlannedWork.size();
}

}

// Guards against a check that misses a call whose connection a stopping node closes.
BOOST_AUTO_TEST_CASE(FindsACallThatIsCutInAStop)
{
    BOOST_TEST(lost(cutInStop()) == 1U);
    auto inResponse = cutInStop();
    inResponse.calls.front().end = CallEnd::ClosedInResponse;
    BOOST_TEST(lost(inResponse) == 1U);
}

// Guards against a check that misses a request that was read but not passed on.
BOOST_AUTO_TEST_CASE(FindsACallThatWaitsBeforeItIsCut)
{
    auto records = cutInStop();
    records.targets.clear();
    BOOST_TEST(lost(records) == 1U);
    auto &call = records.calls.front();
    call.sentAt = at(0.9);
    BOOST_TEST(lost(records) == 0U);
    call.end = CallEnd::NotSent;
    call.sentAt = at(0);
    BOOST_TEST(lost(records) == 0U);
}

// Guards against a check that misses an answer in the place of a target at work.
BOOST_AUTO_TEST_CASE(FindsAnAnswerInThePlaceOfATargetAtWork)
{
    BOOST_TEST(lost(answeredInStop()) == 1U);
    auto ofIngress = answeredInStop();
    ofIngress.planned.front().node = Ingress;
    BOOST_TEST(lost(ofIngress) == 1U);
    auto ofTarget = answeredInStop();
    ofTarget.calls.front().target = "t";
    BOOST_TEST(lost(ofTarget) == 0U);
    auto ended = answeredInStop();
    setRunEnd(ended, 0.9);
    BOOST_TEST(lost(ended) == 0U);
    auto ofOthers = answeredInStop();
    ofOthers.planned.front().node = Sidecar + 1;
    BOOST_TEST(lost(ofOthers) == 0U);
}

// Guards against a check that charges nodes for a target that ended.
BOOST_AUTO_TEST_CASE(ExcusesACallThatItsTargetBrokeOff)
{
    for (auto records : {cutInStop(), answeredInStop()}) {
        records.targets.front().cuts.clear();
        BOOST_TEST(lost(records) == 0U);
    }
}

// Guards against a check that expects answers after the time of the caller or of the route.
BOOST_AUTO_TEST_CASE(ExcusesACallWhoseTimeHasPassed)
{
    for (const auto &records : {cutInStop(), answeredInStop()}) {
        auto deadline = records;
        deadline.calls.front().timeout = Milliseconds(1000);
        BOOST_TEST(lost(deadline) == 0U);
        deadline.calls.front().timeout = Milliseconds(1010);
        BOOST_TEST(lost(deadline) == 1U);
        auto route = records;
        route.routeTimeouts["/a/1"] = Milliseconds(1000);
        BOOST_TEST(lost(route) == 0U);
        route.routeTimeouts["/a/1"] = Milliseconds(1010);
        BOOST_TEST(lost(route) == 1U);
        auto timedOut = records;
        timedOut.calls.front().end = CallEnd::TimedOut;
        BOOST_TEST(lost(timedOut) == 0U);
    }
}

// Guards against a check that expects a node to outlast its stop timeout, or that excuses calls sent
// to a node that had been stopping for long.
BOOST_AUTO_TEST_CASE(ExcusesATargetAtWorkAtTheEndOfTheStop)
{
    for (auto records : {cutInStop(), answeredInStop()}) {
        auto &call = records.calls.front();
        call.timeout = Milliseconds(9000);
        call.endedAt = at(6);
        setRunEnd(records, 6.5);
        BOOST_TEST(lost(records) == 0U);
        auto earlier = records;
        earlier.calls.front().endedAt = at(5);
        setRunEnd(earlier, 5.45);
        BOOST_TEST(lost(earlier) == 1U);
        auto sentLate = records;
        sentLate.planned.front().begin = at(-3.1);
        sentLate.calls.front().endedAt = at(2.2);
        setRunEnd(sentLate, 3);
        BOOST_TEST(lost(sentLate) == 1U);
        sentLate.planned.front().begin = at(-2.9);
        BOOST_TEST(lost(sentLate) == 0U);
    }
}

// Guards against a check that charges nodes for faults.
BOOST_AUTO_TEST_CASE(ExcusesUnplannedDisruption)
{
    for (const auto &records : {cutInStop(), answeredInStop()}) {
        for (const auto &[begin, end, expected] :
            {std::tuple(-4.0, -3.1, 1U), std::tuple(-4.0, -2.9, 0U), std::tuple(0.5, 2.0, 0U), std::tuple(1.1, 2.0, 1U)}) {
            auto disrupted = records;
            disrupted.unplanned.push_back({at(begin), at(end)});
            BOOST_TEST(lost(disrupted) == expected);
        }
    }
}

// Guards against a check that judges calls outside the window of a stop.
BOOST_AUTO_TEST_CASE(JudgesCallsFromTheSignalUntilAfterTheStop)
{
    for (const auto &[signal, expected] : {std::pair(1.1, 0U), std::pair(0.9, 1U), std::pair(-5.9, 1U), std::pair(-6.1, 0U)}) {
        for (auto records : {cutInStop(), answeredInStop()}) {
            records.planned.front().begin = at(signal);
            BOOST_TEST(lost(records) == expected);
        }
    }
    auto other = cutInStop();
    other.planned.front().node = Sidecar;
    BOOST_TEST(lost(other) == 0U);
}

// Guards against a check that judges calls outside the window of a reload.
BOOST_AUTO_TEST_CASE(JudgesCallsSentUntilShortlyAfterAReload)
{
    for (const auto &[signal, expected] : {std::pair(1.1, 0U), std::pair(0.5, 1U), std::pair(-2.4, 1U), std::pair(-2.6, 0U)}) {
        auto records = closedCall();
        records.planned.push_back({.kind = PlannedWork::Kind::Reload, .node = Ingress, .begin = at(signal), .end = TimePoint()});
        BOOST_TEST(lost(records) == expected);
        records.planned.front().node = Sidecar;
        BOOST_TEST(lost(records) == 0U);
    }
}

// Guards against a check that judges calls outside the window of a configuration, that cannot tell it from
// other losses, or that charges it for late calls.
BOOST_AUTO_TEST_CASE(JudgesCallsAroundAConfiguration)
{
    for (const auto &[sent, acknowledged, expected] :
        {std::tuple(1.1, 1.2, 0U), std::tuple(0.5, 0.6, 1U), std::tuple(-4.0, -2.4, 1U), std::tuple(-4.0, -2.6, 0U)}) {
        auto records = closedCall();
        records.planned.push_back({.kind = PlannedWork::Kind::Configuration, .begin = at(sent), .end = at(acknowledged)});
        BOOST_TEST(lost(records) == expected);
    }
    auto records = closedCall();
    records.planned.push_back({.kind = PlannedWork::Kind::Configuration, .begin = at(0.5), .end = at(0.6)});
    auto late = records;
    late.calls.front().timeout = Milliseconds(1400);
    BOOST_TEST(lost(late) == 0U);
    auto usual = records;
    auto earlier = usual.calls.front();
    earlier.sentAt = at(-10);
    earlier.endedAt = at(-9);
    usual.calls.push_back(earlier);
    BOOST_TEST(lost(usual) == 0U);
}

// Guards against a check that sees the loss of large responses around planned work only.
BOOST_AUTO_TEST_CASE(FindsLargeResponsesLostWithoutPlannedWork)
{
    const auto records = largeResponse();
    BOOST_TEST(lostCalls(records).largeResponses.size() == 1U);
    BOOST_TEST(lost(records) == 0U);
    auto small = records;
    small.calls.front().responseBytes = 0;
    BOOST_TEST(lostCalls(small).largeResponses.empty());
    auto notProduced = records;
    notProduced.targets.front().responses.front().time = timeOf(1.5);
    BOOST_TEST(lostCalls(notProduced).largeResponses.empty());
    auto timedOut = records;
    timedOut.calls.front().end = CallEnd::TimedOut;
    BOOST_TEST(lostCalls(timedOut).largeResponses.empty());
    auto late = records;
    late.calls.front().timeout = Milliseconds(1000);
    BOOST_TEST(lostCalls(late).largeResponses.empty());
    auto disrupted = records;
    disrupted.unplanned.push_back({at(0.5), at(0.6)});
    BOOST_TEST(lostCalls(disrupted).largeResponses.empty());
}

// Guards against a check that takes a node's own answer for a large response that could not run.
BOOST_AUTO_TEST_CASE(CountsOwnAnswersForCallsThatRan)
{
    for (const auto status : {502, 504}) {
        auto records = largeResponse();
        auto &call = records.calls.front();
        call.end = CallEnd::Response;
        call.status = status;
        BOOST_TEST(lostCalls(records).ownAnswers == 1U);
        BOOST_TEST(lostCalls(records).largeResponses.size() == 1U);
        call.responseBytes = 0;
        BOOST_TEST(lostCalls(records).ownAnswers == 1U);
        BOOST_TEST(lostCalls(records).largeResponses.empty());
        records.targets.clear();
        BOOST_TEST(lostCalls(records).ownAnswers == 0U);
    }
    auto rejected = largeResponse();
    rejected.calls.front().end = CallEnd::Response;
    rejected.calls.front().status = 503;
    BOOST_TEST(lostCalls(rejected).ownAnswers == 0U);
}
