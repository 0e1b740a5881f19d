#include "faultchecks.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

// Each check is fed a run that holds, and the same run with one record that
// breaks its promise; a check that can't fail would prove nothing.
namespace {

const TimePoint Begin = TimePoint() + std::chrono::hours(1);

TimePoint at(std::int64_t milliseconds)
{
    return Begin + Milliseconds(milliseconds);
}

CallRecord order(const std::string &id, CallOutcome outcome, std::int64_t sentMs)
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

// Two nodes with targets of ventas, one accepted change, one planned stop of
// each kind, all well.
FaultRunRecords goodRun()
{
    FaultRunRecords records;
    records.begin = Begin;
    records.services = {"ventas", "tablero"};
    records.live = {0, 1};
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
    records.calls = {order("r-0", CallOutcome::Answered, 100), order("r-1", CallOutcome::NotRun, 200), order("r-2", CallOutcome::Unknown, 300)};
    records.ledger = {{"r-0", 0, at(101)}, {"r-2", 0, at(301)}};
    return records;
}

using Check = std::vector<Violation> (*)(const FaultRunRecords &);

void expectCaught(Check check, const std::string &promise, const std::function<void(FaultRunRecords &)> &breakIt)
{
    auto records = goodRun();
    BOOST_TEST(check(records).empty());
    breakIt(records);
    const auto violations = check(records);
    BOOST_REQUIRE(!violations.empty());
    BOOST_TEST(violations.front().promise == promise);
    BOOST_TEST(!checkAllPromises(records).empty());
}

}

BOOST_AUTO_TEST_CASE(GoodRunHasNoViolation)
{
    const auto violations = checkAllPromises(goodRun());
    BOOST_TEST(violations.empty(), (violations.empty() ? "" : violations.front().record));
}

BOOST_AUTO_TEST_CASE(FallingRevisionIsCaught)
{
    expectCaught(checkRevisionsNeverFall, "revision-never-falls", [](FaultRunRecords &records) {
        records.samples.push_back({0, at(60), at(61), Revision(1), ContentHash("one")});
    });
}

// The node was restarted in between: it held nothing, then took calls on less
// than its former process served.
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

BOOST_AUTO_TEST_CASE(PartOfRevisionIsCaught)
{
    expectCaught(checkWholeRevisions, "all-or-nothing", [](FaultRunRecords &records) { records.samples[2].digest = ContentHash("half"); });
}

BOOST_AUTO_TEST_CASE(CrossedAnswerIsCaught)
{
    expectCaught(checkOwnAnswers, "own-answer", [](FaultRunRecords &records) { records.calls[0].outcome = CallOutcome::Crossed; });
}

BOOST_AUTO_TEST_CASE(AnswerWithoutExecutionIsCaught)
{
    expectCaught(checkOwnAnswers, "own-answer", [](FaultRunRecords &records) { records.ledger.erase(records.ledger.begin()); });
}

BOOST_AUTO_TEST_CASE(RefusedCallThatRanIsCaught)
{
    expectCaught(checkRefusals, "refused-not-run", [](FaultRunRecords &records) { records.ledger.push_back({"r-1", 0, at(201)}); });
}

BOOST_AUTO_TEST_CASE(RefusedApplyThatTookEffectIsCaught)
{
    expectCaught(checkRefusals, "refused-not-run", [](FaultRunRecords &records) { records.heads[1].applies.emplace_back("c"); });
}

BOOST_AUTO_TEST_CASE(AcceptedBadFileIsCaught)
{
    expectCaught(checkRefusals, "refused-not-run", [](FaultRunRecords &records) { records.heads[1].applies.emplace_back("d"); });
    expectCaught(checkRefusals, "refused-not-run", [](FaultRunRecords &records) { records.applies[3].error.reset(); });
}

BOOST_AUTO_TEST_CASE(OrderRunTwiceIsCaught)
{
    expectCaught(checkRunAtMostOnce, "at-most-once", [](FaultRunRecords &records) { records.ledger.push_back({"r-2", 0, at(400)}); });
}

BOOST_AUTO_TEST_CASE(NewWorkAtLeavingTargetIsCaught)
{
    const Check check = [](const FaultRunRecords &records) { return checkLeavingTargets(records, Milliseconds(3000)); };
    expectCaught(check, "leaving-target", [](FaultRunRecords &records) { records.ledger.push_back({"r-0", 0, at(5500)}); });
}

BOOST_AUTO_TEST_CASE(CallCutOffAtStoppingTargetIsCaught)
{
    expectCaught(checkPlannedStops, "planned-stop", [](FaultRunRecords &records) {
        records.calls.push_back(order("r-3", CallOutcome::Unknown, 9999));
        records.calls.back().ingress = 1;
        records.ledger.push_back({"r-3", 0, at(10000)});
    });
}

BOOST_AUTO_TEST_CASE(CallCutOffAtStoppingIngressIsCaught)
{
    expectCaught(checkPlannedStops, "planned-stop", [](FaultRunRecords &records) { records.calls.push_back(order("r-3", CallOutcome::Unknown, 10100)); });
}

BOOST_AUTO_TEST_CASE(StopThatDoesNotEndIsCaught)
{
    expectCaught(checkPlannedStops, "planned-stop", [](FaultRunRecords &records) { records.faults[1].clean = false; });
}

// A store restored from an older backup was built on: the change that had been
// accepted before is in no later head.
BOOST_AUTO_TEST_CASE(LostAcceptedApplyIsCaught)
{
    const Check check = [](const FaultRunRecords &records) { return checkAcceptedInForce(records, Milliseconds(13000)); };
    expectCaught(check, "accepted-in-force", [](FaultRunRecords &records) { records.heads[1].applies = {ApplyId("b")}; });
}

BOOST_AUTO_TEST_CASE(NodeLeftBehindIsCaught)
{
    const Check check = [](const FaultRunRecords &records) { return checkAcceptedInForce(records, Milliseconds(13000)); };
    expectCaught(check, "accepted-in-force", [](FaultRunRecords &records) {
        records.samples[3].revision = Revision(1);
        records.samples[3].digest = ContentHash("one");
    });
    expectCaught(check, "accepted-in-force", [](FaultRunRecords &records) { records.live.push_back(2); });
}
