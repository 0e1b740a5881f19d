#include "common/tokenbucket.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

}

BOOST_AUTO_TEST_CASE(FillsUpToItsCapacity)
{
    TokenBucket bucket({.tokensPerSecond = 2, .capacity = 3}, Start);
    BOOST_TEST(!bucket.tryTake(Start));
    BOOST_TEST(bucket.tryTake(Start + Milliseconds(500)));
    BOOST_TEST(bucket.tokens(Start + Milliseconds(60000)) == 3);
}

// Guards against a sum that overflows, or a division by zero, where a wait is computed.
BOOST_AUTO_TEST_CASE(BucketThatDoesNotFillReportsALongTime)
{
    const TokenBucket bucket({.tokensPerSecond = 0, .capacity = 0}, Start);
    BOOST_TEST(bucket.timeUntil(1, Start).count() == std::chrono::microseconds(std::chrono::hours(24)).count());
    BOOST_TEST(bucket.timeUntil(0, Start).count() == 0);
    BOOST_TEST((bucket.interval() == std::chrono::hours(24)));
}

BOOST_AUTO_TEST_CASE(ReportsTheTimeUntilTokensCanBeTaken)
{
    const TokenBucket bucket({.tokensPerSecond = 4, .capacity = 2, .initialTokens = 1}, Start);
    BOOST_TEST(bucket.timeUntil(1, Start).count() == 0);
    BOOST_TEST((bucket.timeUntil(3, Start) == Milliseconds(500)));
    BOOST_TEST((bucket.timeUntil(3, Start + Milliseconds(100)) == Milliseconds(400)));
}

// Guards against a clock reading that is older than the last one, as callers with a stored time pass it.
BOOST_AUTO_TEST_CASE(EarlierTimesDoNotRemoveTokens)
{
    TokenBucket bucket({.tokensPerSecond = 1, .capacity = 5, .initialTokens = 2}, Start);
    BOOST_TEST(bucket.tokens(Start - Milliseconds(1000)) == 2);
    bucket.giveBack(Start - Milliseconds(1000));
    BOOST_TEST(bucket.tokens(Start) == 3);
}
