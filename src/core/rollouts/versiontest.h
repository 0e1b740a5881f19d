#pragma once

#include "core/rollouts/targetcounttable.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace Galenahill {

// Compares the responses of the new version with those of the other versions at the same time and
// on the same routes: a sequential probability ratio test on the failure rate, and one on the share
// of calls that take several times the reference latency or are abandoned. Each test restarts when
// its score falls to zero (Page's cumulative sum), so that a fault which begins late is detected as
// fast as one from the start.
//
// The target with the worst score is left out, so that a single slow or failing VM doesn't get its
// version rejected; of a single target, half of the score counts.
class VersionTest
{
public:
    struct Options
    {
        TargetVersion version;
        // Logarithm of the likelihood ratio at which the version is rejected. About the logarithm
        // of the number of tests between two false rejections.
        double threshold = 11;
        // Excess of the failure rate, or of the share of slow calls, over that of the other
        // versions that is tolerated, and the further excess that the test is designed to detect.
        double toleratedExcess = 0.02;
        double detectableExcess = 0.15;
        // Time constant with which the counts of the other versions decay.
        Milliseconds decayTime{3000};
    };

    explicit VersionTest(Options options);

    // Evaluates the current counts. Call it about every second; calls between two evaluations are
    // compared with each other.
    void observe(const TargetCountTable &targetCounts, TimePoint now);

    // Scores for a higher failure rate and for higher latency; the version is rejected when either
    // reaches the threshold.
    double failureScore() const;
    double slownessScore() const;
    bool detectsRegression() const;

    // Number of calls to the new version that were counted, and of its failures.
    std::uint64_t calls() const;
    std::uint64_t failures() const;

    // The scores and counts as text for the log.
    std::string summary() const;

private:
    // Counts of one route.
    struct Counts
    {
        double calls = 0;
        double failures = 0;
        std::array<double, LatencyBucket::Count> latencies{};

        double timedCalls() const;
        double failureRate() const;
        // The bucket from which on a call counts as slow, none if there are too few calls, and the
        // share of calls from a bucket on.
        std::optional<std::size_t> slowThreshold() const;
        double slowShare(std::size_t from) const;
    };

    // Counts since the last evaluation, and earlier ones that decay with age. The new version is
    // compared with the worse of the two, since a fault that affects all targets can begin and end
    // at any time.
    struct Reference
    {
        Counts recent;
        Counts decayed;
    };

    // Scores of the version or of one of its targets.
    struct Scores
    {
        double failure = 0;
        double slowness = 0;
    };

    void decayReferences(TimePoint now);
    Counts takeNewCounts(const TargetCountTable::Source &source, const RouteCounts &counts);
    double logLikelihoodRatio(double bad, double all, double referenceShare) const;
    Scores scoresOf(const RouteName &route, const Counts &counts) const;
    void addScores(const std::map<NodeName, Scores> &latest, double Scores::*score);

    Options m_options;
    TimePoint m_lastObserved;
    std::map<TargetCountTable::Source, std::unordered_map<RouteName, Counts>> m_lastCounts;
    std::unordered_map<RouteName, Reference> m_references;
    std::map<NodeName, Scores> m_targetScores;
    Scores m_scores;
    std::uint64_t m_calls = 0;
    std::uint64_t m_failures = 0;
};

}
