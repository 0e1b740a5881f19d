// Targets that state in their responses that they are leaving, with real processes. Checks the
// arrivals in the targets' logs.

#include "statementfixture.h"

using namespace Galenahill;

namespace {

struct Fixture : StatementFixture
{
    Fixture()
        : StatementFixture(13, 3, "targetleaving")
    {
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
}
