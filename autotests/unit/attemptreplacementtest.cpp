#include "slowtargetfixture.h"

using namespace Galenahill;
using namespace Galenahill::Test;

namespace {

struct Fixture : SlowTargetFixture
{
    Fixture()
        : SlowTargetFixture(testAddress(41))
    {
    }
};

}

BOOST_FIXTURE_TEST_SUITE(attemptreplacement, Fixture)

// Guards against cancelling an attempt for a retry that no target accepts: the caller gets 502 for work
// that was under way.
BOOST_AUTO_TEST_CASE(KeepsTheAttemptIfItsRetryIsRejected)
{
    otherFillsUp = true;
    setMembers({member("slow", slowEndpoint), member("other", otherEndpoint)});
    std::string response;
    for (int i = 0; i < MaxCalls && slowCalls == 0; ++i) {
        response = call();
    }
    BOOST_TEST(slowCalls == 1);
    BOOST_TEST(response.find("200 OK") != std::string::npos);
    BOOST_TEST(response.find("slow;") != std::string::npos);
    BOOST_TEST(cancelledAttempts == 0);
}

BOOST_AUTO_TEST_SUITE_END()
