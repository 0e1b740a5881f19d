// Targets that state a rate limit in their responses, with real processes. Checks the arrivals in the
// targets' logs.

#include "statementfixture.h"

using namespace Galenahill;

namespace {

struct Fixture : StatementFixture
{
    Fixture()
        : StatementFixture(12, 3, "targetratelimit")
    {
    }
};

}

// Guards against a target in need that gets its share of the calls whatever rate it states.
BOOST_FIXTURE_TEST_CASE(HoldsTheRateThatATargetStates, Fixture)
{
    const auto records = callWhile(120, Milliseconds(11000), Milliseconds(500), [&] { stateRateLimit(0, "6.5"); });
    const auto violations = rateLimitViolations({.targets = fleet.targetHistories(), .calls = records});
    BOOST_TEST(violations.empty(), joined(violations));
}
