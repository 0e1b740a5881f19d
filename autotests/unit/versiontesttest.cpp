#include "core/rollouts/versiontest.h"
#include "core/rollouts/shareplan.h"
#include "core/rollouts/versionsplit.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <optional>
#include <random>

using namespace Galenahill;

namespace {

// Ten targets a version that take a call each in turn; times vary as work does.
class Sample
{
public:
    explicit Sample(std::uint64_t seed)
        : m_random(seed)
    {
    }

    // Half a second of calls, then a look.
    void play(int oldCalls, int newCalls, double oldFailing, double newFailing, double slowdown)
    {
        add("v1", oldCalls, oldFailing, 1);
        add("v2", newCalls, newFailing, slowdown);
        m_now += Milliseconds(500);
        m_test.observe(m_evidence, m_now);
    }

    const VersionTest &test() const
    {
        return m_test;
    }

private:
    void add(const std::string &version, int calls, double failing, double slowdown)
    {
        for (int i = 0; i < calls; ++i) {
            const auto target = m_turn++ % 10;
            auto &counts = m_counts[version][target];
            counts.node = NodeName(version + "-" + std::to_string(target));
            counts.version = TargetVersion(version);
            counts.routes.resize(1);
            auto &route = counts.routes.front();
            route.route = RouteName("r");
            const Milliseconds time(static_cast<std::int64_t>(200 * slowdown * std::lognormal_distribution<double>(-0.11, 0.47)(m_random)));
            const bool fails = std::bernoulli_distribution(failing)(m_random);
            route.add(fails ? TargetEnd::Failed : time > Milliseconds(1200) ? TargetEnd::GivenUp : TargetEnd::Answered, time, true);
        }
        for (const auto &[target, counts] : m_counts[version]) {
            m_evidence.merge(counts, m_now);
        }
    }

    std::mt19937_64 m_random;
    std::size_t m_turn = 0;
    std::map<std::string, std::map<std::size_t, TargetCounts>> m_counts;
    EvidenceTable m_evidence;
    VersionTest m_test{{.version = TargetVersion("v2")}};
    TimePoint m_now{std::chrono::hours(1)};
};

// Looks until the test convicts; none if it doesn't within a minute.
std::optional<int> looksToConvict(std::uint64_t seed, int newCalls, double oldFailing, double newFailing, double slowdown)
{
    Sample sample(seed);
    for (int look = 1; look <= 120; ++look) {
        sample.play(200, newCalls, oldFailing, newFailing, slowdown);
        if (sample.test().convicts()) {
            return look;
        }
    }
    return std::nullopt;
}

}

// Error of the first kind: a minute at 16 and at 160 calls a second to an equal
// version, with few failures and with many.
BOOST_AUTO_TEST_CASE(RarelyConvictsAnEqualVersion)
{
    int convicted = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        for (const auto failing : {0.001, 0.3}) {
            for (const int calls : {8, 80}) {
                convicted += looksToConvict(seed, calls, failing, failing, 1) ? 1 : 0;
            }
        }
    }
    // Of 400 minutes.
    BOOST_TEST(convicted <= 2);
}

// Error of the second kind, and the delay.
BOOST_AUTO_TEST_CASE(ConvictsAWorseVersionWithinSeconds)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        BOOST_TEST(looksToConvict(seed, 8, 0.001, 0.5, 1).value_or(999) <= 10);
        BOOST_TEST(looksToConvict(seed, 8, 0.3, 0.8, 1).value_or(999) <= 30);
        BOOST_TEST(looksToConvict(seed, 8, 0.001, 0.001, 8).value_or(999) <= 4);
        BOOST_TEST(looksToConvict(seed, 8, 0.001, 0.001, 4).value_or(999) <= 6);
        BOOST_TEST(looksToConvict(seed, 80, 0.001, 0.15, 1).value_or(999) <= 10);
    }
}

// Guards against a fault that hides behind a long time without one.
BOOST_AUTO_TEST_CASE(AFaultThatBeginsLateShowsAsFast)
{
    Sample sample(1);
    for (int look = 0; look < 100; ++look) {
        sample.play(200, 8, 0.001, 0.001, 1);
    }
    BOOST_TEST(!sample.test().convicts());
    for (int look = 0; look < 10; ++look) {
        sample.play(200, 8, 0.001, 0.5, 1);
    }
    BOOST_TEST(sample.test().convicts());
}

BOOST_AUTO_TEST_CASE(SharesBeforeThePromotionKeepWithinTheExposure)
{
    for (const auto seconds : {1, 12, 16, 60, 3600}) {
        for (const auto exposure : {0.01, 0.1, 0.3}) {
            const SharePlan plan({.exposureShare = exposure});
            RolloutRecord record;
            record.order.duration = std::chrono::seconds(seconds);
            double sum = 0;
            constexpr int Steps = 1000;
            for (int step = 0; step < Steps; ++step) {
                record.ageMs = static_cast<std::uint32_t>(record.order.duration.count() * step / Steps);
                sum += plan.at(record).share / Steps;
            }
            BOOST_TEST(sum <= exposure);
            BOOST_TEST(sum >= 0.3 * exposure);
        }
    }
}

BOOST_AUTO_TEST_CASE(OfAnyCallsTheVersionGetsItsShare)
{
    VersionSplit split(7);
    const ServiceName service("tablero");
    int assigned = 0;
    for (int call = 1; call <= 1000; ++call) {
        assigned += split.next(service, 0.03) ? 1 : 0;
        BOOST_TEST(std::abs(assigned - 0.03 * call) <= 1.0);
    }
}
