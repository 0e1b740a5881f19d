#include "core/calls/retrybudget.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const TimePoint Start(std::chrono::seconds(1000));

}

// Guards against a change where no nested call needs a retry.
BOOST_AUTO_TEST_CASE(TopLevelCallsGetAllTokensWithoutNestedRetries)
{
    RetryBudget budget({.retriesPerCall = 0, .slack = 20});
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(budget.tryTakeToken(false, Start));
    }
    BOOST_TEST(!budget.tryTakeToken(false, Start));
}

// Retries of top-level calls have used most of the budget when nested calls fail. Guards against parents
// whose work is lost because searches used the last token.
BOOST_AUTO_TEST_CASE(NestedCallsHaveTheFirstClaim)
{
    RetryBudget budget({.retriesPerCall = 0, .slack = 20});
    BOOST_TEST(budget.tryTakeToken(true, Start));
    int topLevel = 0;
    while (budget.tryTakeToken(false, Start)) {
        ++topLevel;
    }
    BOOST_TEST(topLevel == 9);
    BOOST_TEST(!budget.hasToken(false, Start));
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(budget.tryTakeToken(true, Start));
    }
    BOOST_TEST(!budget.tryTakeToken(true, Start));
    budget.returnToken();
    BOOST_TEST(!budget.hasToken(false, Start + Milliseconds(4900)));
    BOOST_TEST(budget.hasToken(false, Start + Milliseconds(5000)));
}
