#include "core/calls/statedratelimit.h"

#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace Galenahill;

namespace Galenahill {

std::ostream &operator<<(std::ostream &stream, StatedRateLimit::Change change)
{
    return stream << toString(change);
}

}

namespace {

using Change = StatedRateLimit::Change;

TimePoint at(int milliseconds)
{
    return TimePoint() + std::chrono::hours(1) + Milliseconds(milliseconds);
}

const std::optional<CallsPerSecond> None;

std::optional<CallsPerSecond> rate(double callsPerSecond)
{
    return CallsPerSecond(callsPerSecond);
}

double limitOf(const StatedRateLimit &stated)
{
    return stated.limit() ? stated.limit()->value() : -1;
}

}

// Guards against a malformed value that is parsed as a limit, or as one of zero.
BOOST_AUTO_TEST_CASE(ParsesDecimalNumbersOnly)
{
    for (const auto *text :
        {"", "-1", "+1", "-0", "inf", "nan", "1e3", "0x10", "6.3 ", " 6.3", "6,3", "6.3/s", "six", ".", "1.2.3", "1000001", "99999999999999999999"}) {
        BOOST_TEST(!parseRate(text).has_value(), text);
    }
    BOOST_TEST(parseRate("6.3")->value() == 6.3);
    BOOST_TEST(parseRate("12")->value() == 12);
    BOOST_TEST(parseRate("0.25")->value() == 0.25);
    BOOST_TEST(parseRate("0")->value() == 0);
    // Too small to be represented; zero would keep every call away.
    BOOST_TEST(!parseRate("0." + std::string(400, '0') + "1").has_value());
}

BOOST_AUTO_TEST_CASE(FollowsTheLimitThroughItsLife)
{
    StatedRateLimit stated;
    BOOST_TEST(stated.update(None, at(0), at(10)) == Change::None);
    BOOST_TEST(stated.update(rate(6), at(20), at(30)) == Change::Stated);
    BOOST_TEST(stated.update(rate(12), at(40), at(50)) == Change::Changed);
    BOOST_TEST(limitOf(stated) == 12);
    BOOST_TEST(stated.update(rate(3), at(60), at(70)) == Change::Changed);
    BOOST_TEST(limitOf(stated) == 3);
    BOOST_TEST(stated.update(None, at(80), at(90)) == Change::Lifted);
    BOOST_TEST(!stated.limit().has_value());
}

// Guards against a response from before the limit that arrives late and lifts or raises it.
BOOST_AUTO_TEST_CASE(StatementsOfUnknownOrderDoNotRelaxTheLimit)
{
    StatedRateLimit stated;
    stated.update(rate(6), at(20), at(30));
    BOOST_TEST(stated.update(None, at(10), at(40)) == Change::None);
    BOOST_TEST(stated.update(rate(12), at(25), at(45)) == Change::None);
    BOOST_TEST(limitOf(stated) == 6);
    BOOST_TEST(stated.update(rate(4), at(15), at(50)) == Change::Changed);
    BOOST_TEST(limitOf(stated) == 4);
    // A response to a request that was sent after the last statement arrived is certainly later.
    BOOST_TEST(stated.update(None, at(50), at(60)) == Change::Lifted);
}

// Guards against a limit that a target's earlier process stated and that outlives it.
BOOST_AUTO_TEST_CASE(RestartedTargetInheritsNoLimit)
{
    StatedRateLimit stated;
    stated.update(rate(6), at(20), at(30));
    stated.reset(at(40));
    BOOST_TEST(!stated.limit().has_value());
    BOOST_TEST(stated.update(rate(6), at(35), at(50)) == Change::None);
    BOOST_TEST(!stated.limit().has_value());
    BOOST_TEST(stated.update(rate(2), at(45), at(60)) == Change::Stated);
}
