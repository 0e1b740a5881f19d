// Overload at one target: more calls arrive than its slots can run. The figures
// are those of the users' dues mesh: 9 slots, calls of 60 to 150 ms, one slot
// free each 8 ms, objectives of 150 to 400 ms.

#include "core/calls/callqueue.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const RouteName Lookup("lookup");
const RouteName Payment("payment");
const TimePoint Now{Milliseconds(1000000)};
constexpr std::size_t Capacity = 64;
constexpr std::chrono::microseconds Interval{8000};

QueueTicket ticket(std::uint64_t number)
{
    return QueueTicket(number);
}

CallUrgency lookup(int startsWithin)
{
    return {.forNewWork = true, .priority = 2, .startBy = Now + Milliseconds(startsWithin)};
}

CallUrgency payment(int startsWithin)
{
    return {.forNewWork = true, .priority = 1, .startBy = Now + Milliseconds(startsWithin)};
}

}

// Lookups wait in line when a payment comes, and then the ledger check that a
// running lookup makes. The check goes first: refused or late, it would waste
// the 60 ms that the lookup has already run. The payment outranks the lookups.
BOOST_AUTO_TEST_CASE(CallsOfRunningCallsGoFirst)
{
    CallQueue queue({.byUrgency = true});
    queue.push(ticket(1), Lookup, Capacity, lookup(100));
    queue.push(ticket(2), Payment, Capacity, payment(150));
    queue.push(ticket(3), Lookup, Capacity, {.forNewWork = false, .priority = 2, .startBy = Now + Milliseconds(170)});
    BOOST_TEST(queue.ahead(payment(150)) == 2U);
    BOOST_TEST(queue.pop(Now)->value() == 3U);
    BOOST_TEST(queue.pop(Now)->value() == 2U);
    BOOST_TEST(queue.pop(Now)->value() == 1U);
}

// A call could not start in time, since the target was slow for a moment. The
// slot that comes free goes to one that can still be in time; before it, the
// late one would make the next late as well, and so on down the line.
BOOST_AUTO_TEST_CASE(LateCallsGoBehindThoseInTime)
{
    CallQueue queue({.byUrgency = true});
    queue.push(ticket(1), Lookup, Capacity, lookup(-5));
    queue.push(ticket(2), Lookup, Capacity, lookup(30));
    BOOST_TEST(queue.pop(Now)->value() == 2U);
    BOOST_TEST(queue.pop(Now)->value() == 1U);
}

// Ten lookups wait that must start within 50 ms, while a slot comes free each
// 8 ms: six of them can. The others learn at once that they must go elsewhere,
// not after the 50 ms, when nobody else could answer them in time either.
BOOST_AUTO_TEST_CASE(HopelessCallsAreFoundAtOnce)
{
    CallQueue queue({.byUrgency = true});
    for (std::uint64_t i = 0; i < 10; ++i) {
        queue.push(ticket(i), Lookup, Capacity, lookup(50 + static_cast<int>(i)));
    }
    int hopeless = 0;
    while (queue.takeHopeless(Now, Interval)) {
        ++hopeless;
    }
    BOOST_TEST(hopeless == 3);
    BOOST_TEST(queue.size() == 7U);
}

// The line is full. The call that gives way is the least urgent one, which may
// be the one that has just come.
BOOST_AUTO_TEST_CASE(TheLeastUrgentGivesWay)
{
    CallQueue queue({.byUrgency = true});
    queue.push(ticket(1), Payment, 2, payment(10));
    queue.push(ticket(2), Lookup, 2, lookup(90));
    BOOST_TEST(queue.push(ticket(3), Payment, 2, payment(80))->value() == 2U);
    BOOST_TEST(queue.push(ticket(4), Lookup, 2, lookup(1))->value() == 4U);
}
