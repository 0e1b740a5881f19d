#include "core/rollouts/versiontest.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <numeric>
#include <vector>

namespace Galenahill {

namespace {

// Highest share that the test assumes; with a higher one, no response could change the result.
constexpr double MaxAssumedShare = 0.97;

// Minimum number of calls of the other versions on a route to compare with.
constexpr double MinCalls = 8;

// Number of buckets above the median from which on a call is slow: four times as long. Targets are
// up to twice as slow as others of their service.
constexpr std::size_t SlowBuckets = 2 * LatencyBucket::BucketsPerDoubling;

}

VersionTest::VersionTest(Options options)
    : m_options(std::move(options))
{
}

double VersionTest::Counts::timedCalls() const
{
    return std::accumulate(latencies.begin(), latencies.end(), 0.0);
}

// Rule of succession: a few calls without a failure don't prove a failure rate of zero.
double VersionTest::Counts::failureRate() const
{
    return calls < MinCalls ? 0 : (failures + 1) / (calls + 2);
}

std::optional<std::size_t> VersionTest::Counts::slowThreshold() const
{
    const auto all = timedCalls();
    if (all < MinCalls) {
        return std::nullopt;
    }
    double below = 0;
    std::size_t median = 0;
    while (median < latencies.size() && below + latencies[median] < all / 2) {
        below += latencies[median];
        ++median;
    }
    return std::min<std::size_t>(median + SlowBuckets, LatencyBucket::Abandoned);
}

double VersionTest::Counts::slowShare(std::size_t from) const
{
    const auto all = timedCalls();
    const auto slow = std::accumulate(latencies.begin() + static_cast<std::ptrdiff_t>(from), latencies.end(), 0.0);
    return all < MinCalls ? 0 : (slow + 1) / (all + 2);
}

void VersionTest::decayReferences(TimePoint now)
{
    const auto passed = m_lastObserved == TimePoint() ? Clock::duration(0) : now - m_lastObserved;
    const double kept = std::exp(-std::chrono::duration<double>(passed) / std::chrono::duration<double>(m_options.decayTime));
    m_lastObserved = now;
    for (auto &[route, reference] : m_references) {
        auto &[recent, decayed] = reference;
        decayed.calls = (decayed.calls + recent.calls) * kept;
        decayed.failures = (decayed.failures + recent.failures) * kept;
        for (std::size_t i = 0; i < decayed.latencies.size(); ++i) {
            decayed.latencies[i] = (decayed.latencies[i] + recent.latencies[i]) * kept;
        }
        recent = {};
    }
}

VersionTest::Counts VersionTest::takeNewCounts(const TargetCountTable::Source &source, const RouteCounts &counts)
{
    Counts all{.calls = static_cast<double>(counts.calls), .failures = static_cast<double>(counts.failures)};
    for (const auto &bucket : counts.latencies) {
        all.latencies[bucket.index] = bucket.calls;
    }
    auto &last = m_lastCounts[source][counts.route];
    Counts recent{.calls = all.calls - last.calls, .failures = all.failures - last.failures};
    std::transform(all.latencies.begin(), all.latencies.end(), last.latencies.begin(), recent.latencies.begin(), std::minus<>());
    last = all;
    return recent;
}

// Logarithm of the likelihood ratio for that many failed or slow calls out of all.
double VersionTest::logLikelihoodRatio(double bad, double all, double referenceShare) const
{
    const double expected = std::min(referenceShare + m_options.toleratedExcess, MaxAssumedShare);
    const double worse = std::min(expected + m_options.detectableExcess, (1 + MaxAssumedShare) / 2);
    return bad * std::log(worse / expected) + (all - bad) * std::log((1 - worse) / (1 - expected));
}

VersionTest::Scores VersionTest::scoresOf(const RouteName &route, const Counts &counts) const
{
    const auto found = m_references.find(route);
    const auto &[recent, decayed] = found == m_references.end() ? Reference() : found->second;
    Scores scores;
    scores.failure = logLikelihoodRatio(counts.failures, counts.calls, std::max(recent.failureRate(), decayed.failureRate()));
    // While all targets are slow, the higher of both thresholds applies.
    const auto from = std::max(recent.slowThreshold(), decayed.slowThreshold());
    if (from) {
        const auto slow = std::accumulate(counts.latencies.begin() + static_cast<std::ptrdiff_t>(*from), counts.latencies.end(), 0.0);
        scores.slowness = logLikelihoodRatio(slow, counts.timedCalls(), std::max(recent.slowShare(*from), decayed.slowShare(*from)));
    }
    return scores;
}

// Adds the latest scores of all targets except the one with the worst accumulated score.
void VersionTest::addScores(const std::map<NodeName, Scores> &latest, double Scores::*score)
{
    double worst = 0;
    double worstLatest = 0;
    double sum = 0;
    for (const auto &[node, scores] : latest) {
        auto &targetScore = m_targetScores[node].*score;
        targetScore = std::max(0.0, targetScore + scores.*score);
        sum += scores.*score;
    }
    for (const auto &[node, scores] : m_targetScores) {
        if (scores.*score > worst) {
            const auto latestOfTarget = latest.find(node);
            worst = scores.*score;
            worstLatest = latestOfTarget == latest.end() ? 0 : latestOfTarget->second.*score;
        }
    }
    const double total = m_targetScores.size() == 1 ? sum / 2 : sum - std::max(worstLatest, 0.0);
    m_scores.*score = std::max(0.0, m_scores.*score + total);
}

void VersionTest::observe(const TargetCountTable &targetCounts, TimePoint now)
{
    decayReferences(now);
    struct NewCounts
    {
        NodeName node;
        RouteName route;
        Counts counts;
    };
    std::vector<NewCounts> newVersionCounts;
    for (const auto &[source, counts] : targetCounts.all()) {
        for (const auto &route : counts.routes) {
            const auto recent = takeNewCounts(source, route);
            if (source.version == m_options.version) {
                newVersionCounts.push_back({source.node, route.route, recent});
                continue;
            }
            auto &reference = m_references[route.route].recent;
            reference.calls += recent.calls;
            reference.failures += recent.failures;
            std::transform(reference.latencies.begin(), reference.latencies.end(), recent.latencies.begin(), reference.latencies.begin(), std::plus<>());
        }
    }
    std::map<NodeName, Scores> latest;
    for (const auto &[node, route, counts] : newVersionCounts) {
        const auto scores = scoresOf(route, counts);
        latest[node].failure += scores.failure;
        latest[node].slowness += scores.slowness;
        m_calls += static_cast<std::uint64_t>(counts.calls);
        m_failures += static_cast<std::uint64_t>(counts.failures);
    }
    addScores(latest, &Scores::failure);
    addScores(latest, &Scores::slowness);
}

double VersionTest::failureScore() const
{
    return m_scores.failure;
}

double VersionTest::slownessScore() const
{
    return m_scores.slowness;
}

bool VersionTest::detectsRegression() const
{
    return std::max(failureScore(), slownessScore()) >= m_options.threshold;
}

std::uint64_t VersionTest::calls() const
{
    return m_calls;
}

std::uint64_t VersionTest::failures() const
{
    return m_failures;
}

std::string VersionTest::summary() const
{
    return fmt::format("{} calls, {} failures, failure score {:.1f}, slowness score {:.1f} of {:.1f}",
        m_calls,
        m_failures,
        failureScore(),
        slownessScore(),
        m_options.threshold);
}

}
