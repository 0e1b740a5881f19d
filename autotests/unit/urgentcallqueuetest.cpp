// Overload of one target: more calls arrive than its slots can execute. The figures are those of a
// mesh that collects dues: 9 slots, calls of 60 to 150 ms, a slot freed every 8 ms, objectives of
// 150 to 400 ms.

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
    return {.isTopLevel = true, .priority = 2, .startBy = Now + Milliseconds(startsWithin)};
}

CallUrgency payment(int startsWithin)
{
    return {.isTopLevel = true, .priority = 1, .startBy = Now + Milliseconds(startsWithin)};
}

}

// Lookups are queued when a payment arrives, and then the nested ledger check of a running lookup.
// The check goes first: rejected or late, it would waste the 60 ms that the lookup has already run.
// The payment has a higher priority than the lookups.
BOOST_AUTO_TEST_CASE(NestedCallsGoFirst)
{
    CallQueue queue({.byUrgency = true});
    queue.push(ticket(1), Lookup, Capacity, lookup(100));
    queue.push(ticket(2), Payment, Capacity, payment(150));
    queue.push(ticket(3), Lookup, Capacity, {.isTopLevel = false, .priority = 2, .startBy = Now + Milliseconds(170)});
    BOOST_TEST(queue.countAhead(payment(150)) == 2U);
    BOOST_TEST(queue.pop(Now)->value() == 3U);
    BOOST_TEST(queue.pop(Now)->value() == 2U);
    BOOST_TEST(queue.pop(Now)->value() == 1U);
}

// A call could not start in time because the target was slow for a moment. The freed slot goes to
// a call that can still be in time; otherwise the late one would make the next call late as well,
// and so on through the queue.
BOOST_AUTO_TEST_CASE(LateCallsGoBehindThoseInTime)
{
    CallQueue queue({.byUrgency = true});
    queue.push(ticket(1), Lookup, Capacity, lookup(-5));
    queue.push(ticket(2), Lookup, Capacity, lookup(30));
    BOOST_TEST(queue.pop(Now)->value() == 2U);
    BOOST_TEST(queue.pop(Now)->value() == 1U);
}

// Ten queued lookups must start within 50 to 59 ms, while a slot is freed every 8 ms: only seven of
// them can. The others are rejected at once so that they can go to another target, and not after
// that time, when no target could meet their objective any more.
BOOST_AUTO_TEST_CASE(UnschedulableCallsAreRejectedAtOnce)
{
    CallQueue queue({.byUrgency = true});
    for (std::uint64_t i = 0; i < 10; ++i) {
        queue.push(ticket(i), Lookup, Capacity, lookup(50 + static_cast<int>(i)));
    }
    int unschedulable = 0;
    while (queue.popUnschedulable(Now, Interval)) {
        ++unschedulable;
    }
    BOOST_TEST(unschedulable == 3);
    BOOST_TEST(queue.size() == 7U);
}

// The queue is full. The least urgent call is rejected, which may be the new one.
BOOST_AUTO_TEST_CASE(TheLeastUrgentIsRejected)
{
    CallQueue queue({.byUrgency = true});
    queue.push(ticket(1), Payment, 2, payment(10));
    queue.push(ticket(2), Lookup, 2, lookup(90));
    BOOST_TEST(queue.push(ticket(3), Payment, 2, payment(80))->value() == 2U);
    BOOST_TEST(queue.push(ticket(4), Lookup, 2, lookup(1))->value() == 4U);
}

// Of calls with the same priority, those of customers above their share go last and are the first to be
// dropped, the call of the customer furthest above it before all. Guards against a customer whose burst
// fills the queue and takes the slots from the others.
BOOST_AUTO_TEST_CASE(CustomersAboveTheirShareGoLastInTheirPriority)
{
    std::chrono::microseconds excessOfSur{100};
    const CustomerName sur("sur");
    const CustomerName norte("norte");
    CallQueue queue({.byUrgency = true,
        .excess = [&](const CustomerName &customer) { return customer == sur ? excessOfSur : std::chrono::microseconds(customer == norte ? 200 : 0); }});
    const std::size_t places = 6;
    queue.push(ticket(1), Lookup, places, lookup(10), sur);
    queue.push(ticket(2), Lookup, places, lookup(20), norte);
    queue.push(ticket(3), Lookup, places, lookup(90), CustomerName("este"));
    queue.push(ticket(4), Payment, places, payment(90), sur);
    queue.push(ticket(5), Payment, places, payment(95), CustomerName("este"));
    queue.push(ticket(6), Lookup, places, {.isTopLevel = false, .priority = 2, .startBy = Now + Milliseconds(170)}, norte);
    BOOST_TEST(queue.push(ticket(7), Payment, places, payment(99), norte)->value() == 2U);
    BOOST_TEST(queue.push(ticket(8), Lookup, places, lookup(80), CustomerName("este"))->value() == 1U);
    BOOST_TEST(queue.pop(Now)->value() == 6U);
    BOOST_TEST(queue.pop(Now)->value() == 5U);
    BOOST_TEST(queue.pop(Now)->value() == 4U);
    BOOST_TEST(queue.pop(Now)->value() == 7U);
    BOOST_TEST(queue.pop(Now)->value() == 8U);
    BOOST_TEST(queue.pop(Now)->value() == 3U);
    // The share is that of now, not of the call's arrival.
    queue.push(ticket(9), Lookup, places, lookup(10), sur);
    queue.push(ticket(10), Lookup, places, lookup(20), CustomerName("este"));
    excessOfSur = std::chrono::microseconds(0);
    BOOST_TEST(queue.pop(Now)->value() == 9U);
}
