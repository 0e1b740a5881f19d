#include "adapters/http/lingeringclose.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

constexpr LingeringClose::Options Limits{.acknowledgementTimeout = Milliseconds(1000), .closeTimeout = Milliseconds(100), .discardLimit = 1000};

struct Fixture
{
    TimePoint begin = Clock::now();
    LingeringClose lingering{Limits, begin};

    bool isOver(int afterMs, std::size_t unacknowledged, std::size_t discarded = 0)
    {
        return lingering.isOver(begin + Milliseconds(afterMs), unacknowledged, discarded);
    }
};

}

// Guards against a close before a slow but steady reader has received everything.
BOOST_FIXTURE_TEST_CASE(WaitsAsLongAsThePeerAcknowledges, Fixture)
{
    std::size_t unacknowledged = 5000;
    for (int time = 0; time < 5000; time += 900) {
        BOOST_TEST(!isOver(time, unacknowledged, 100000));
        unacknowledged -= 500;
    }
}

// Guards against connections to lost peers that stay open for ever.
BOOST_FIXTURE_TEST_CASE(EndsIfNothingIsAcknowledged, Fixture)
{
    BOOST_TEST(!isOver(0, 5000));
    BOOST_TEST(!isOver(999, 5000));
    BOOST_TEST(isOver(1000, 5000));
}

// Guards against many idle connections whose peers close late and that take a busy VM's processor in a stop.
BOOST_FIXTURE_TEST_CASE(ChecksOnlyWhileAnAcknowledgementIsAwaited, Fixture)
{
    BOOST_TEST(!isOver(0, 1));
    BOOST_TEST(lingering.checkAfter(begin).count() == 50);
    BOOST_TEST(!isOver(50, 0));
    BOOST_TEST(lingering.checkAfter(begin + Milliseconds(50)).count() == 100);
    BOOST_TEST(lingering.checkAfter(begin + Milliseconds(149)).count() == 1);
    BOOST_TEST(lingering.checkAfter(begin + Milliseconds(200)).count() == 0);
}

// Guards against connections to peers that never close, or that send on.
BOOST_FIXTURE_TEST_CASE(BoundsTheWaitForThePeersClose, Fixture)
{
    BOOST_TEST(!isOver(500, 0));
    BOOST_TEST(!isOver(599, 0, 999));
    BOOST_TEST(isOver(599, 0, 1000));
    BOOST_TEST(isOver(600, 0));
}
