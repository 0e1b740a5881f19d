#include "core/rollouts/versiontest.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <numeric>
#include <vector>

namespace Galenahill {

namespace {

// Highest share that the test supposes; beyond it no answer could tell.
constexpr double MaxShare = 0.97;

// Calls of the other versions on a route that are enough to compare with.
constexpr double LeastCalls = 8;

// Ranges above the usual time from which a call is slow: four times as long. Targets
// are up to twice as slow as others of their service.
constexpr std::size_t SlowRanges = 2 * TimeRange::PerDouble;

}

VersionTest::VersionTest(Options options)
    : m_options(std::move(options))
{
}

double VersionTest::Counts::timed() const
{
    return std::accumulate(times.begin(), times.end(), 0.0);
}

// Rule of succession: a few calls without a failure don't prove that there are none.
double VersionTest::Counts::failing() const
{
    return calls < LeastCalls ? 0 : (failures + 1) / (calls + 2);
}

std::optional<std::size_t> VersionTest::Counts::slowFrom() const
{
    const auto all = timed();
    if (all < LeastCalls) {
        return std::nullopt;
    }
    double below = 0;
    std::size_t median = 0;
    while (median < times.size() && below + times[median] < all / 2) {
        below += times[median];
        ++median;
    }
    return std::min<std::size_t>(median + SlowRanges, TimeRange::GivenUp);
}

double VersionTest::Counts::slowShare(std::size_t from) const
{
    const auto all = timed();
    const auto slow = std::accumulate(times.begin() + static_cast<std::ptrdiff_t>(from), times.end(), 0.0);
    return all < LeastCalls ? 0 : (slow + 1) / (all + 2);
}

void VersionTest::age(TimePoint now)
{
    const auto passed = m_lastObserved == TimePoint() ? Clock::duration(0) : now - m_lastObserved;
    const double kept = std::exp(-std::chrono::duration<double>(passed) / std::chrono::duration<double>(m_options.memory));
    m_lastObserved = now;
    for (auto &[route, reference] : m_references) {
        auto &[fresh, faded] = reference;
        faded.calls = (faded.calls + fresh.calls) * kept;
        faded.failures = (faded.failures + fresh.failures) * kept;
        for (std::size_t i = 0; i < faded.times.size(); ++i) {
            faded.times[i] = (faded.times[i] + fresh.times[i]) * kept;
        }
        fresh = {};
    }
}

VersionTest::Counts VersionTest::newSince(const EvidenceTable::Source &source, const RouteCounts &counts)
{
    Counts all{.calls = static_cast<double>(counts.calls), .failures = static_cast<double>(counts.failures)};
    for (const auto &times : counts.times) {
        all.times[times.range] = times.calls;
    }
    auto &counted = m_counted[source][counts.route];
    Counts fresh{.calls = all.calls - counted.calls, .failures = all.failures - counted.failures};
    std::transform(all.times.begin(), all.times.end(), counted.times.begin(), fresh.times.begin(), std::minus<>());
    counted = all;
    return fresh;
}

// Logarithm of the likelihood ratio of that many bad ones among all.
double VersionTest::step(double bad, double all, double usualShare) const
{
    const double expected = std::min(usualShare + m_options.tolerated, MaxShare);
    const double suspected = std::min(expected + m_options.wantedDifference, (1 + MaxShare) / 2);
    return bad * std::log(suspected / expected) + (all - bad) * std::log((1 - suspected) / (1 - expected));
}

VersionTest::Scores VersionTest::judged(const RouteName &route, const Counts &counts) const
{
    const auto found = m_references.find(route);
    const auto &[fresh, faded] = found == m_references.end() ? Reference() : found->second;
    Scores scores;
    scores.failure = step(counts.failures, counts.calls, std::max(fresh.failing(), faded.failing()));
    // While all are slow, what is slow is another time.
    const auto from = std::max(fresh.slowFrom(), faded.slowFrom());
    if (from) {
        const auto slow = std::accumulate(counts.times.begin() + static_cast<std::ptrdiff_t>(*from), counts.times.end(), 0.0);
        scores.slowness = step(slow, counts.timed(), std::max(fresh.slowShare(*from), faded.slowShare(*from)));
    }
    return scores;
}

// Adds what each target showed of late, but for the one that looks worst by now.
void VersionTest::add(const std::map<NodeName, Scores> &steps, double Scores::*score)
{
    double worst = 0;
    double worstStep = 0;
    double sum = 0;
    for (const auto &[node, step] : steps) {
        auto &ofTarget = m_ofTargets[node].*score;
        ofTarget = std::max(0.0, ofTarget + step.*score);
        sum += step.*score;
    }
    for (const auto &[node, scores] : m_ofTargets) {
        if (scores.*score > worst) {
            const auto step = steps.find(node);
            worst = scores.*score;
            worstStep = step == steps.end() ? 0 : step->second.*score;
        }
    }
    const double counted = m_ofTargets.size() == 1 ? sum / 2 : sum - std::max(worstStep, 0.0);
    m_scores.*score = std::max(0.0, m_scores.*score + counted);
}

void VersionTest::observe(const EvidenceTable &evidence, TimePoint now)
{
    age(now);
    struct Fresh
    {
        NodeName node;
        RouteName route;
        Counts counts;
    };
    std::vector<Fresh> ofVersion;
    for (const auto &[source, counts] : evidence.all()) {
        for (const auto &route : counts.routes) {
            const auto fresh = newSince(source, route);
            if (source.version == m_options.version) {
                ofVersion.push_back({source.node, route.route, fresh});
                continue;
            }
            auto &reference = m_references[route.route].fresh;
            reference.calls += fresh.calls;
            reference.failures += fresh.failures;
            std::transform(reference.times.begin(), reference.times.end(), fresh.times.begin(), reference.times.begin(), std::plus<>());
        }
    }
    std::map<NodeName, Scores> steps;
    for (const auto &[node, route, counts] : ofVersion) {
        const auto step = judged(route, counts);
        steps[node].failure += step.failure;
        steps[node].slowness += step.slowness;
        m_calls += static_cast<std::uint64_t>(counts.calls);
        m_failures += static_cast<std::uint64_t>(counts.failures);
    }
    add(steps, &Scores::failure);
    add(steps, &Scores::slowness);
}

double VersionTest::failureScore() const
{
    return m_scores.failure;
}

double VersionTest::slownessScore() const
{
    return m_scores.slowness;
}

bool VersionTest::convicts() const
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
