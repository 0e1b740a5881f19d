#include "core/calls/linkshare.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

constexpr TimePoint Begin{std::chrono::seconds(10)};

struct Fixture
{
    LinkShare share{{.bytesPerSecond = 1'000'000, .least = 0.8, .payload = 0.95, .headroom = 1}};
    TimePoint now = Begin;
    std::uint64_t large = 0;
    std::uint64_t other = 0;

    void send(std::uint64_t otherPerSecond, int seconds)
    {
        for (int i = 0; i < seconds * 10; ++i) {
            share.update(large + other, large, now);
            now += Milliseconds(100);
            large += 80'000;
            other += otherPerSecond / 10;
        }
    }
};

}

// Guards against a share that nothing has been measured for.
BOOST_FIXTURE_TEST_CASE(LeastUntilMeasured, Fixture)
{
    BOOST_TEST(share.value() == 0.8);
    send(0, 3);
    BOOST_TEST(share.value() == 0.8);
    send(0, 3);
    BOOST_TEST(share.value() == 0.95);
}

// Guards against links that other traffic and large responses overload together, and against a fixed
// share that leaves them idle.
BOOST_FIXTURE_TEST_CASE(OtherTrafficIsLeftOut, Fixture)
{
    send(50'000, 6);
    BOOST_TEST(share.value() == 0.9, boost::test_tools::tolerance(0.001));
    send(100'000, 6);
    BOOST_TEST(share.value() == 0.85, boost::test_tools::tolerance(0.001));
    send(400'000, 6);
    BOOST_TEST(share.value() == 0.8);
    send(0, 6);
    BOOST_TEST(share.value() == 0.95);
}

// Guards against other traffic that seems to be negative after large responses were counted early.
BOOST_FIXTURE_TEST_CASE(BytesInFlightDoNotCount, Fixture)
{
    for (int i = 0; i < 60; ++i) {
        share.update(large > 48'000 ? large - 48'000 : 0, large, now);
        now += Milliseconds(100);
        large += 80'000;
    }
    BOOST_TEST(share.value() == 0.95);
}
