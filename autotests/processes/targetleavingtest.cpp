// Targets that state in their responses that they are leaving, with real processes. Checks the
// arrivals in the targets' logs.

#include "statementfixture.h"

#include <algorithm>
#include <csignal>

using namespace Galenahill;

namespace {

struct Fixture : StatementFixture
{
    Fixture()
        : StatementFixture(13, 3, "targetleaving")
    {
    }

    std::size_t arrivals(const std::string &target) const
    {
        const auto histories = fleet.targetHistories();
        const auto found = std::find_if(histories.begin(), histories.end(), [&](const auto &history) { return history.target == target; });
        return found == histories.end() ? 0 : found->arrivals.size();
    }
};

}

// Guards against calls to a target that states that it is leaving while its heartbeats still announce
// it as ready.
BOOST_FIXTURE_TEST_CASE(SendsNoCallToATargetThatStatesThatItLeaves, Fixture)
{
    const auto records = callWhile(60, Milliseconds(6000), Milliseconds(500), [&] { stateLeaving(0); });
    const auto violations = leavingViolations({.targets = fleet.targetHistories(), .calls = records});
    BOOST_TEST(violations.empty(), joined(violations));
    // A third of the calls would go to this target; the others have room for them.
    BOOST_TEST(countOf(records, CallOutcome::Answered) >= static_cast<std::ptrdiff_t>(records.size() * 85 / 100));
}

// Guards against a restarted node that forgets that its target is leaving, and gets the calls of nodes
// that have passed that on. A limit that the target states as well changes nothing.
BOOST_FIXTURE_TEST_CASE(RestartedNodeLearnsThatItsTargetLeaves, Fixture)
{
    stateRateLimit(0, "50");
    stateLeaving(0);
    const auto before = call(60, 120, "before");
    fleet.nodeProcess(0).signal(SIGKILL);
    fleet.nodeProcess(0).wait();
    const auto arrivedBefore = arrivals("t-0-1");
    fleet.startNode(0);
    auto records = call(60, 300, "after");
    BOOST_TEST(arrivals("t-0-1") == arrivedBefore);
    records.insert(records.end(), before.begin(), before.end());
    const auto violations = leavingViolations({.targets = fleet.targetHistories(), .calls = records});
    BOOST_TEST(violations.empty(), joined(violations));
}

// Guards against a new target that gets no calls because the one before it at its address left.
BOOST_FIXTURE_TEST_CASE(SuccessorOfALeavingTargetGetsCalls, Fixture)
{
    stateLeaving(0);
    call(60, 60, "leaving");
    fleet.targetProcess(0).signal(SIGKILL);
    fleet.targetProcess(0).wait();
    fleet.startTarget(0);
    const auto until = Clock::now() + StartLimit;
    while (arrivals("t-0-2") == 0) {
        BOOST_REQUIRE(Clock::now() < until);
        call(60, 30, fmt::format("successor-{}", nextLoad++));
    }
}
