#include "statementchecks.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace Galenahill;

namespace {

TimePoint at(double seconds)
{
    return TimePoint() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1000 + seconds));
}

std::chrono::microseconds timeOf(double seconds)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(at(seconds).time_since_epoch());
}

// A target that states the limit at second zero and gets calls from one node at that rate for ten
// seconds.
StatementRecords recordsOf(const std::string &limit, double rate)
{
    StatementRecords records;
    TargetHistory target;
    target.target = "t";
    target.rateLimits.push_back({limit, timeOf(0)});
    for (int i = 0; i < static_cast<int>(10 * rate); ++i) {
        const double sent = i / rate;
        CallRecord call;
        call.id = fmt::format("call-{}", i);
        call.sentAt = at(sent);
        call.endedAt = at(sent + 0.05);
        call.target = "t";
        call.statedRateLimit = limit;
        records.calls.push_back(call);
        target.arrivals.push_back({call.id, timeOf(sent + 0.01)});
    }
    records.targets.push_back(std::move(target));
    return records;
}

}

// Guards against a check that cannot see the fault that it is for.
BOOST_AUTO_TEST_CASE(FindsARateAboveTheLimit)
{
    BOOST_TEST(rateLimitViolations(recordsOf("5", 12)).size() == 1U);
    BOOST_TEST(rateLimitViolations(recordsOf("5", 5)).empty());
    BOOST_TEST(rateLimitViolations(recordsOf("nonsense", 12)).empty());
}

// Guards against a check that charges nodes for what they could not know.
BOOST_AUTO_TEST_CASE(DoesNotCountCallsOfNodesThatDoNotKnowTheLimit)
{
    auto records = recordsOf("5", 12);
    records.disruptions.push_back({.node = 0, .begin = at(0), .end = at(10)});
    BOOST_TEST(rateLimitViolations(records).empty());
    auto uninformed = recordsOf("5", 12);
    for (auto &call : uninformed.calls) {
        call.statedRateLimit.clear();
    }
    BOOST_TEST(rateLimitViolations(uninformed).empty());
}

// Guards against a check that judges a limit that was lifted.
BOOST_AUTO_TEST_CASE(EndsWhenTheLimitIsLifted)
{
    auto records = recordsOf("5", 12);
    records.targets.front().rateLimits.push_back({"none", timeOf(3)});
    BOOST_TEST(rateLimitViolations(records).empty());
}

BOOST_AUTO_TEST_CASE(FindsACallToALeavingTarget)
{
    auto records = recordsOf("5", 2);
    BOOST_TEST(leavingViolations(records).empty());
    records.calls.front().statedLeaving = true;
    BOOST_TEST(!leavingViolations(records).empty());
    records.disruptions.push_back({.node = 0, .begin = at(1), .end = at(1.5)});
    BOOST_TEST(leavingViolations(records).empty());
}
