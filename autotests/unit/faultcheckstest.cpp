#include "faultchecks.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

// Runs each check on the records of a run without violations, and on the same records with one
// change that violates the guarantee. Guards against checks that can't fail.
namespace {

const TimePoint Begin = TimePoint() + std::chrono::hours(1);

TimePoint at(std::int64_t milliseconds)
{
    return Begin + Milliseconds(milliseconds);
}

CallRecord nonIdempotentCall(const std::string &id, CallOutcome outcome, std::int64_t sentMs)
{
    CallRecord call;
    call.id = id;
    call.path = "/ventas/pedidos";
    call.outcome = outcome;
    call.status = outcome == CallOutcome::Answered ? 200 : 503;
    call.scheduled = Milliseconds(sentMs);
    call.latency = Milliseconds(5);
    return call;
}

// Records of a run without violations: two nodes, two accepted applies, two rejected ones, and one
// planned stop of each kind.
FaultRunRecords goodRun()
{
    FaultRunRecords records;
    records.begin = Begin;
    records.services = {"ventas", "tablero"};
    records.runningNodes = {0, 1};
    records.heads = {{Revision(1), ContentHash("one"), {ApplyId("a")}}, {Revision(2), ContentHash("two"), {ApplyId("a"), ApplyId("b")}}};
    records.applies = {{ApplyId("a"), {}, false, at(10)},
        {ApplyId("b"), {}, false, at(20)},
        {ApplyId("c"), ErrorKind::Unavailable, false, at(30)},
        {ApplyId("d"), ErrorKind::Invalid, true, at(40)}};
    records.samples = {{0, at(1), at(2), Revision(1), ContentHash("one")},
        {0, at(50), at(51), Revision(2), ContentHash("two")},
        {1, at(50), at(51), Revision(2), ContentHash("two")},
        {0, at(30000), at(30001), Revision(2), ContentHash("two")}};
    records.faults = {{TargetDrainFault, {0}, at(2000), at(9000)}, {NodeStopFault, {0}, at(10000), at(12000)}};
    records.calls = {nonIdempotentCall("r-0", CallOutcome::Answered, 100),
        nonIdempotentCall("r-1", CallOutcome::NotRun, 200),
        nonIdempotentCall("r-2", CallOutcome::Unknown, 300)};
    records.ledger = {{"r-0", 0, at(101)}, {"r-2", 0, at(301)}};
    return records;
}

using Check = std::vector<Violation> (*)(const FaultRunRecords &);

void expectCaught(Check check, const std::string &guarantee, const std::function<void(FaultRunRecords &)> &introduceViolation)
{
    auto records = goodRun();
    BOOST_TEST(check(records).empty());
    introduceViolation(records);
    const auto violations = check(records);
    BOOST_REQUIRE(!violations.empty());
    BOOST_TEST(violations.front().guarantee == guarantee);
    BOOST_TEST(!checkAllGuarantees(records).empty());
}

}

BOOST_AUTO_TEST_CASE(GoodRunHasNoViolation)
{
    const auto violations = checkAllGuarantees(goodRun());
    BOOST_TEST(violations.empty(), (violations.empty() ? "" : violations.front().description));
}

BOOST_AUTO_TEST_CASE(FallingRevisionIsCaught)
{
    expectCaught(checkRevisionsNeverFall, "revision-never-falls", [](FaultRunRecords &records) {
        records.samples.push_back({0, at(60), at(61), Revision(1), ContentHash("one")});
    });
}

// The node restarts in between: it has no revision at first, then serves a lower one than before the
// restart.
BOOST_AUTO_TEST_CASE(OlderRevisionAfterRestartIsCaught)
{
    expectCaught(checkRevisionsNeverFall, "revision-never-falls", [](FaultRunRecords &records) {
        records.samples.push_back({0, at(60), at(61), Revision(), ContentHash()});
        records.samples.push_back({0, at(70), at(71), Revision(1), ContentHash("one")});
    });
}

BOOST_AUTO_TEST_CASE(CallAtWrongServiceIsCaught)
{
    expectCaught(checkRoutesReachTheirService, "no-route-astray", [](FaultRunRecords &records) { records.ledger.push_back({"r-0", 1, at(102)}); });
}

BOOST_AUTO_TEST_CASE(MissingRouteIsCaught)
{
    expectCaught(checkRoutesReachTheirService, "no-route-astray", [](FaultRunRecords &records) { records.calls[1].status = 404; });
}

BOOST_AUTO_TEST_CASE(IncompleteRevisionIsCaught)
{
    expectCaught(checkRevisionsComplete, "all-or-nothing", [](FaultRunRecords &records) { records.samples[2].digest = ContentHash("half"); });
}

BOOST_AUTO_TEST_CASE(MismatchedResponseIsCaught)
{
    expectCaught(checkResponsesMatchCalls, "own-answer", [](FaultRunRecords &records) { records.calls[0].outcome = CallOutcome::Mismatched; });
}

BOOST_AUTO_TEST_CASE(ResponseWithoutExecutionIsCaught)
{
    expectCaught(checkResponsesMatchCalls, "own-answer", [](FaultRunRecords &records) { records.ledger.erase(records.ledger.begin()); });
}

BOOST_AUTO_TEST_CASE(RejectedCallThatRanIsCaught)
{
    expectCaught(checkRejections, "refused-not-run", [](FaultRunRecords &records) { records.ledger.push_back({"r-1", 0, at(201)}); });
}

BOOST_AUTO_TEST_CASE(RejectedApplyThatTookEffectIsCaught)
{
    expectCaught(checkRejections, "refused-not-run", [](FaultRunRecords &records) { records.heads[1].applies.emplace_back("c"); });
}

BOOST_AUTO_TEST_CASE(AcceptedInvalidFileIsCaught)
{
    expectCaught(checkRejections, "refused-not-run", [](FaultRunRecords &records) { records.heads[1].applies.emplace_back("d"); });
    expectCaught(checkRejections, "refused-not-run", [](FaultRunRecords &records) { records.applies[3].error.reset(); });
}

BOOST_AUTO_TEST_CASE(NonIdempotentCallRunTwiceIsCaught)
{
    expectCaught(checkRunAtMostOnce, "at-most-once", [](FaultRunRecords &records) { records.ledger.push_back({"r-2", 0, at(400)}); });
}

BOOST_AUTO_TEST_CASE(NewCallAtLeavingTargetIsCaught)
{
    const Check check = [](const FaultRunRecords &records) { return checkLeavingTargets(records, Milliseconds(3000)); };
    expectCaught(check, "leaving-target", [](FaultRunRecords &records) { records.ledger.push_back({"r-0", 0, at(5500)}); });
}

BOOST_AUTO_TEST_CASE(CallInterruptedAtStoppingTargetIsCaught)
{
    expectCaught(checkPlannedStops, "planned-stop", [](FaultRunRecords &records) {
        records.calls.push_back(nonIdempotentCall("r-3", CallOutcome::Unknown, 9999));
        records.calls.back().ingress = 1;
        records.ledger.push_back({"r-3", 0, at(10000)});
    });
}

BOOST_AUTO_TEST_CASE(CallInterruptedAtStoppingIngressIsCaught)
{
    expectCaught(
        checkPlannedStops, "planned-stop", [](FaultRunRecords &records) { records.calls.push_back(nonIdempotentCall("r-3", CallOutcome::Unknown, 10100)); });
}

BOOST_AUTO_TEST_CASE(StopThatDoesNotEndIsCaught)
{
    expectCaught(checkPlannedStops, "planned-stop", [](FaultRunRecords &records) { records.faults[1].exitedCleanly = false; });
}

// Later changes are based on a store that was restored from an older backup, so that a change which
// had been accepted is missing from the last head.
BOOST_AUTO_TEST_CASE(LostAcceptedApplyIsCaught)
{
    const Check check = [](const FaultRunRecords &records) { return checkAcceptedInForce(records, Milliseconds(13000)); };
    expectCaught(check, "accepted-in-force", [](FaultRunRecords &records) { records.heads[1].applies = {ApplyId("b")}; });
}

BOOST_AUTO_TEST_CASE(NodeWithoutLastRevisionIsCaught)
{
    const Check check = [](const FaultRunRecords &records) { return checkAcceptedInForce(records, Milliseconds(13000)); };
    expectCaught(check, "accepted-in-force", [](FaultRunRecords &records) {
        records.samples[3].revision = Revision(1);
        records.samples[3].digest = ContentHash("one");
    });
    expectCaught(check, "accepted-in-force", [](FaultRunRecords &records) { records.runningNodes.push_back(2); });
}
