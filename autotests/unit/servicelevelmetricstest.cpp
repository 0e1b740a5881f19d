#include "core/calls/burnreport.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(100);

RouteDefinition route()
{
    RouteDefinition definition;
    definition.name = RouteName("pedidos");
    definition.sloAvailability = 99;
    definition.sloLatency = Milliseconds(100);
    return definition;
}

}

BOOST_AUTO_TEST_CASE(CountsByWindow)
{
    SlidingWindowCounts counts;
    counts.add(Start, {.calls = 10, .failed = 1, .slow = 2});
    counts.add(Start + std::chrono::minutes(30), {.calls = 5, .failed = 0, .slow = 0});
    const auto now = Start + std::chrono::minutes(31);
    BOOST_TEST(counts.sum(now, std::chrono::minutes(5)).calls == 5U);
    BOOST_TEST(counts.sum(now, std::chrono::minutes(60)).calls == 15U);
    BOOST_TEST(counts.sum(now + std::chrono::hours(7), std::chrono::hours(6)).calls == 0U);
}

// Once the longest window has passed, the earlier counts are discarded. If they stayed, they would
// show a burn rate that ended long ago.
BOOST_AUTO_TEST_CASE(DiscardsCountsOlderThanTheLongestWindow)
{
    SlidingWindowCounts counts;
    counts.add(Start, {.calls = 10, .failed = 10, .slow = 0});
    counts.add(Start + SlidingWindowCounts::MaxWindow, {.calls = 1, .failed = 0, .slow = 0});
    BOOST_TEST(counts.sum(Start + SlidingWindowCounts::MaxWindow, SlidingWindowCounts::MaxWindow).failed == 0U);
}

BOOST_AUTO_TEST_CASE(SumsBurnRatesOverNodes)
{
    ServiceLevelMetrics first;
    ServiceLevelMetrics second;
    for (int i = 0; i < 98; ++i) {
        first.record(route(), CallResult::Answered, std::chrono::milliseconds(i < 4 ? 150 : 10), Start);
    }
    second.record(route(), CallResult::NotRun, std::chrono::milliseconds(1), Start);
    second.record(route(), CallResult::OutcomeUnknown, std::chrono::milliseconds(1), Start);
    BurnReport report;
    report.add(first.report(Start));
    report.add(second.report(Start));
    report.addMissing(NodeName("n3"));
    const auto &burn = report.routes().at(RouteName("pedidos"));
    // 2 of 100 failed with a budget of 1 in 100; 4 of 100 were slow.
    BOOST_TEST(burn.availabilityBurn(0) == 2.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(burn.latencyBurn(0) == 4.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(report.nodes() == 2U);
    BOOST_TEST(report.missing().size() == 1U);
}

BOOST_AUTO_TEST_CASE(ReportsLatencyQuantiles)
{
    ServiceLevelMetrics metrics;
    for (int i = 1; i <= 1000; ++i) {
        metrics.record(route(), CallResult::Answered, std::chrono::milliseconds(i), Start);
    }
    const auto report = metrics.report(Start).front();
    BOOST_TEST(report.latencyP50 == 500.0, boost::test_tools::tolerance(0.02));
    BOOST_TEST(report.latencyP99 == 990.0, boost::test_tools::tolerance(0.02));
    BOOST_TEST(report.latencyMax == 1000.0);
}
