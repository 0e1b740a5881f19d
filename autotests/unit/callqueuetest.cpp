#include "core/calls/callqueue.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const RouteName Flood("flood");
const RouteName Board("board");
constexpr std::size_t Capacity = 6;

QueueTicket ticket(std::uint64_t number)
{
    return QueueTicket(number);
}

}

// One route sends far more calls than the target can execute and fills the queue. A call of
// another route must not be rejected like the rest: it replaces a queued call of the flooding
// route, and goes next since its own route has no running call.
BOOST_AUTO_TEST_CASE(floodingRouteLeavesPlacesForOthers)
{
    CallQueue queue({});
    for (std::uint64_t i = 0; i < 6; ++i) {
        queue.callStarted(Flood);
        BOOST_TEST(!queue.push(ticket(i), Flood, Capacity).has_value());
    }
    BOOST_TEST(queue.push(ticket(6), Flood, Capacity)->value() == 6U);
    BOOST_TEST(queue.push(ticket(7), Board, Capacity)->value() == 5U);
    BOOST_TEST(queue.pop()->value() == 7U);
    BOOST_TEST(queue.size() == 5U);
}

// A single route may use the whole queue and all slots.
BOOST_AUTO_TEST_CASE(singleRouteMayUseEverything)
{
    CallQueue queue({});
    for (std::uint64_t i = 0; i < Capacity; ++i) {
        BOOST_TEST(!queue.push(ticket(i), Flood, Capacity).has_value());
    }
    for (std::uint64_t i = 0; i < Capacity; ++i) {
        BOOST_TEST(queue.pop()->value() == i);
        queue.callStarted(Flood);
    }
    BOOST_TEST(!queue.pop().has_value());
}

BOOST_AUTO_TEST_CASE(newestFirstKeepsTheFairShares)
{
    CallQueue queue({.newestFirst = true});
    queue.callStarted(Flood);
    queue.push(ticket(1), Board, Capacity);
    queue.push(ticket(2), Flood, Capacity);
    queue.push(ticket(3), Board, Capacity);
    queue.push(ticket(4), Flood, Capacity);
    BOOST_TEST(queue.pop()->value() == 3U);
    queue.remove(ticket(1));
    BOOST_TEST(queue.pop()->value() == 4U);
    BOOST_TEST(queue.pop()->value() == 2U);
}
