#include "core/calls/servicetimes.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;
using Microseconds = std::chrono::microseconds;

namespace {

const RouteName Lookup("lookup");
const RouteName Archive("archive");

}

// A whole fleet restarts, and its targets have not responded to any call yet. An estimate from the
// routes' objectives applies until the first response.
BOOST_AUTO_TEST_CASE(TheFirstResponseReplacesTheEstimate)
{
    ServiceTimes times;
    BOOST_TEST(times.average(Lookup).count() == 0);
    times.assume(Lookup, Microseconds(250000));
    times.assume(Archive, Microseconds(1000000));
    BOOST_TEST(times.average(Lookup).count() == 250000);
    BOOST_TEST(times.average(Archive).count() == 1000000);
    BOOST_TEST(times.average() > Microseconds(250000));
    times.record(Lookup, Microseconds(160000));
    times.assume(Lookup, Microseconds(250000));
    BOOST_TEST(times.average(Lookup).count() == 160000);
    BOOST_TEST(times.average(Archive).count() == 1000000);
    BOOST_TEST(times.average().count() == 160000);
}

// A target becomes slow; the average follows within about ten calls. The latencies are those of a
// service of 5 ms and of one of 2 s.
BOOST_AUTO_TEST_CASE(FollowsATargetThatBecomesSlow)
{
    for (const Microseconds latency : {Microseconds(5000), Microseconds(2000000)}) {
        ServiceTimes times;
        for (int i = 0; i < 10; ++i) {
            times.record(Lookup, latency);
        }
        for (int i = 0; i < 12; ++i) {
            times.record(Lookup, latency * 5);
        }
        BOOST_TEST(times.average(Lookup) > latency * 4);
    }
}

// Guards against estimates for the slowest calls from the average of all.
BOOST_AUTO_TEST_CASE(HighLatencyCoversNineInTenCalls)
{
    ServiceTimes times;
    times.assume(Lookup, Microseconds(250000));
    BOOST_TEST(times.high(Lookup).count() == 250000);
    for (int i = 1; i <= 100; ++i) {
        times.record(Lookup, Microseconds(i % 8 == 0 ? 90000 : 10000));
    }
    BOOST_TEST(times.high(Lookup).count() == 90000);
    for (int i = 1; i <= 32; ++i) {
        times.record(Lookup, Microseconds(i % 16 == 0 ? 90000 : 10000));
    }
    BOOST_TEST(times.high(Lookup).count() >= times.average(Lookup).count());
    BOOST_TEST(times.high(Lookup).count() < 90000);
}
