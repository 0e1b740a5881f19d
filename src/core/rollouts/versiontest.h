#pragma once

#include "core/rollouts/evidencetable.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace Galenahill {

// Compares the answers of a version with those of the others at the same time and
// on the same routes: a sequential probability ratio test on the share of failures,
// and one on the share of calls that take several times the usual time or are given
// up. Each begins anew whenever it speaks for the version (Page's cumulative sum), so
// that a fault which begins late shows as fast as one from the start.
//
// The target that looks worst is left out, so that no single slow or failing VM
// convicts its version; of one target alone half is counted.
class VersionTest
{
public:
    struct Options
    {
        TargetVersion version;
        // Logarithm of the likelihood ratio that convicts. About the logarithm of
        // the number of tests between two wrong convictions.
        double threshold = 11;
        // Share of failures, or of slow calls, beyond that of the other versions that
        // counts as none, and the one that the test looks for.
        double tolerated = 0.02;
        double wantedDifference = 0.15;
        // Time over which the counts of the other versions are averaged.
        Milliseconds memory{3000};
    };

    explicit VersionTest(Options options);

    // Looks at the counts as they are now. Call it every second or so; what
    // happened between two calls is compared with each other.
    void observe(const EvidenceTable &evidence, TimePoint now);

    // Strength of the evidence that the version fails more, or is slower; each
    // convicts at the threshold.
    double failureScore() const;
    double slownessScore() const;
    bool convicts() const;

    // Calls of the version that were counted, and its failures.
    std::uint64_t calls() const;
    std::uint64_t failures() const;

    // The scores and counts as words for the log.
    std::string summary() const;

private:
    // Counts of the other versions on one route.
    struct Counts
    {
        double calls = 0;
        double failures = 0;
        std::array<double, TimeRange::Count> times{};

        double timed() const;
        double failing() const;
        // The range from which a call counts as slow; none as long as too few
        // calls tell, and the share of those that are.
        std::optional<std::size_t> slowFrom() const;
        double slowShare(std::size_t from) const;
    };

    // Those since the last look, and those before, fading with age. The version is
    // compared with the worse of the two, since a trouble of all targets begins and
    // ends at any moment.
    struct Reference
    {
        Counts fresh;
        Counts faded;
    };

    // What speaks against the version, or against one of its targets.
    struct Scores
    {
        double failure = 0;
        double slowness = 0;
    };

    void age(TimePoint now);
    Counts newSince(const EvidenceTable::Source &source, const RouteCounts &counts);
    double step(double bad, double all, double usualShare) const;
    Scores judged(const RouteName &route, const Counts &counts) const;
    void add(const std::map<NodeName, Scores> &steps, double Scores::*score);

    Options m_options;
    TimePoint m_lastObserved;
    std::map<EvidenceTable::Source, std::unordered_map<RouteName, Counts>> m_counted;
    std::unordered_map<RouteName, Reference> m_references;
    std::map<NodeName, Scores> m_ofTargets;
    Scores m_scores;
    std::uint64_t m_calls = 0;
    std::uint64_t m_failures = 0;
};

}
