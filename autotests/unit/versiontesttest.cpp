#include "core/rollouts/versiontest.h"
#include "core/rollouts/shareplan.h"
#include "core/rollouts/versionsplit.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <optional>
#include <random>

using namespace Galenahill;

namespace {

// Ten targets per version that get calls in turn, with log-normally distributed latencies.
class Sample
{
public:
    explicit Sample(std::uint64_t seed)
        : m_random(seed)
    {
    }

    // Adds half a second of calls, then evaluates them.
    void addRound(int oldCalls, int newCalls, double oldFailureRate, double newFailureRate, double slowdown)
    {
        add("v1", oldCalls, oldFailureRate, 1);
        add("v2", newCalls, newFailureRate, slowdown);
        m_now += Milliseconds(500);
        m_test.observe(m_countTable, m_now);
    }

    const VersionTest &test() const
    {
        return m_test;
    }

private:
    void add(const std::string &version, int calls, double failureRate, double slowdown)
    {
        for (int i = 0; i < calls; ++i) {
            const auto target = m_nextTarget++ % 10;
            auto &counts = m_counts[version][target];
            counts.node = NodeName(version + "-" + std::to_string(target));
            counts.version = TargetVersion(version);
            counts.routes.resize(1);
            auto &route = counts.routes.front();
            route.route = RouteName("r");
            const Milliseconds time(static_cast<std::int64_t>(200 * slowdown * std::lognormal_distribution<double>(-0.11, 0.47)(m_random)));
            const bool fails = std::bernoulli_distribution(failureRate)(m_random);
            route.add(fails ? TargetResult::Failed : time > Milliseconds(1200) ? TargetResult::Abandoned : TargetResult::Answered, time, true);
        }
        for (const auto &[target, counts] : m_counts[version]) {
            m_countTable.merge(counts, m_now);
        }
    }

    std::mt19937_64 m_random;
    std::size_t m_nextTarget = 0;
    std::map<std::string, std::map<std::size_t, TargetCounts>> m_counts;
    TargetCountTable m_countTable;
    VersionTest m_test{{.version = TargetVersion("v2")}};
    TimePoint m_now{std::chrono::hours(1)};
};

// Evaluates until the test rejects the new version; none if it doesn't within a minute.
std::optional<int> evaluationsToReject(std::uint64_t seed, int newCalls, double oldFailureRate, double newFailureRate, double slowdown)
{
    Sample sample(seed);
    for (int evaluation = 1; evaluation <= 120; ++evaluation) {
        sample.addRound(200, newCalls, oldFailureRate, newFailureRate, slowdown);
        if (sample.test().detectsRegression()) {
            return evaluation;
        }
    }
    return std::nullopt;
}

}

// Type I error: an equal version gets calls for a minute, at 16 and at 160 calls a second, with few
// failures and with many.
BOOST_AUTO_TEST_CASE(RarelyRejectsAnEqualVersion)
{
    int rejections = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        for (const auto failureRate : {0.001, 0.3}) {
            for (const int calls : {8, 80}) {
                rejections += evaluationsToReject(seed, calls, failureRate, failureRate, 1) ? 1 : 0;
            }
        }
    }
    // Out of 400 minutes.
    BOOST_TEST(rejections <= 2);
}

// Type II error, and the detection delay.
BOOST_AUTO_TEST_CASE(RejectsAWorseVersionWithinSeconds)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        BOOST_TEST(evaluationsToReject(seed, 8, 0.001, 0.5, 1).value_or(999) <= 10);
        BOOST_TEST(evaluationsToReject(seed, 8, 0.3, 0.8, 1).value_or(999) <= 30);
        BOOST_TEST(evaluationsToReject(seed, 8, 0.001, 0.001, 8).value_or(999) <= 4);
        BOOST_TEST(evaluationsToReject(seed, 8, 0.001, 0.001, 4).value_or(999) <= 6);
        BOOST_TEST(evaluationsToReject(seed, 80, 0.001, 0.15, 1).value_or(999) <= 10);
    }
}

// Guards against overlooking a fault that begins after a long time without failures.
BOOST_AUTO_TEST_CASE(FaultThatBeginsLateIsDetectedAsFast)
{
    Sample sample(1);
    for (int evaluation = 0; evaluation < 100; ++evaluation) {
        sample.addRound(200, 8, 0.001, 0.001, 1);
    }
    BOOST_TEST(!sample.test().detectsRegression());
    for (int evaluation = 0; evaluation < 10; ++evaluation) {
        sample.addRound(200, 8, 0.001, 0.5, 1);
    }
    BOOST_TEST(sample.test().detectsRegression());
}

BOOST_AUTO_TEST_CASE(SharesBeforeThePromotionStayWithinTheExposure)
{
    for (const auto seconds : {1, 12, 16, 60, 3600}) {
        for (const auto exposure : {0.01, 0.1, 0.3}) {
            const SharePlan plan({.exposureShare = exposure});
            RolloutRecord record;
            record.spec.duration = std::chrono::seconds(seconds);
            double sum = 0;
            constexpr int Steps = 1000;
            for (int step = 0; step < Steps; ++step) {
                record.ageMs = static_cast<std::uint32_t>(record.spec.duration.count() * step / Steps);
                sum += plan.at(record).share / Steps;
            }
            BOOST_TEST(sum <= exposure);
            BOOST_TEST(sum >= 0.3 * exposure);
        }
    }
}

BOOST_AUTO_TEST_CASE(VersionGetsItsShareOfAnyNumberOfCalls)
{
    VersionSplit split(7);
    const ServiceName service("tablero");
    int assigned = 0;
    for (int call = 1; call <= 1000; ++call) {
        assigned += split.next(service, 0.03) ? 1 : 0;
        BOOST_TEST(std::abs(assigned - 0.03 * call) <= 1.0);
    }
}
