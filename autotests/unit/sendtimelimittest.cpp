#include "adapters/http/sendtimelimit.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

struct Fixture
{
    TimePoint start = Clock::now();
    SendTimeLimit limit{{.limit = Milliseconds(1000), .minBytes = 100}};

    Fixture()
    {
        limit.begin(start);
    }

    bool isOver(int afterMs, std::uint64_t acknowledged)
    {
        return limit.isOver(start + Milliseconds(afterMs), acknowledged);
    }
};

}

// Guards against a response that is cut although its peer reads it steadily.
BOOST_FIXTURE_TEST_CASE(BeginsAnewWithProgress, Fixture)
{
    std::uint64_t acknowledged = 0;
    for (int time = 0; time < 10000; time += 900) {
        BOOST_TEST(!isOver(time, acknowledged));
        acknowledged += 100;
    }
}

// Guards against peers that keep a connection by taking single bytes.
BOOST_FIXTURE_TEST_CASE(SingleBytesDoNotExtendIt, Fixture)
{
    BOOST_TEST(!isOver(0, 100));
    BOOST_TEST(!isOver(900, 150));
    BOOST_TEST(isOver(1000, 199));
}

// Bytes that are acknowledged slowly add up.
BOOST_FIXTURE_TEST_CASE(CountsBytesSinceTheLastProgress, Fixture)
{
    BOOST_TEST(!isOver(300, 60));
    BOOST_TEST(!isOver(600, 120));
    BOOST_TEST(!isOver(1500, 180));
    BOOST_TEST(!isOver(1550, 220));
    BOOST_TEST(isOver(2550, 300));
}
