#pragma once

#include "core/rollouts/rolloutrecord.h"

#include <cstdint>
#include <vector>

namespace Galenahill {

// How a target finished a call.
enum class TargetResult {
    Answered,
    // The target responded with an error.
    Failed,
    // The call was cancelled or its deadline passed while the target worked on it.
    Abandoned,
};

// One bucket of a latency histogram. The upper bound of each bucket is 1.4 times its lower bound;
// the last bucket counts the abandoned calls.
struct LatencyBucket
{
    static constexpr std::uint8_t Abandoned = 40;
    static constexpr std::uint8_t Count = Abandoned + 1;
    // Number of buckets per doubling of the latency.
    static constexpr std::uint8_t BucketsPerDoubling = 2;

    std::uint8_t index = 0;
    std::uint32_t calls = 0;

    static std::uint8_t indexOf(Milliseconds time);

    friend bool operator==(const LatencyBucket &, const LatencyBucket &) = default;
};

// Results of the calls of one route at one target since a rollout spec was created. Counts only
// grow.
struct RouteCounts
{
    RouteName route;
    std::uint32_t calls = 0;
    std::uint32_t failures = 0;
    // Histogram of the calls' latency at the target, without the calls of a target that has just
    // started.
    std::vector<LatencyBucket> latencies;

    void add(TargetResult result, Milliseconds time, bool timed);

    friend bool operator==(const RouteCounts &, const RouteCounts &) = default;
};

// The call counts of one target, as reported by the node beside it.
struct TargetCounts
{
    NodeName node;
    // Start time of the node's process. A later process counts from zero again.
    std::uint64_t process = 0;
    ServiceName service;
    TargetVersion version;
    // Version at which the spec that the counts belong to was created.
    ObjectVersion specCreated;
    // Sequence number of the report within the process.
    std::uint32_t sequence = 0;
    // No call runs at the target, and none will until the retirement lease ends: see
    // RetirementLease.
    bool retired = false;
    std::vector<RouteCounts> routes;
};

// Time after a report of retirement for which the node sends no calls to its target whatever it
// receives meanwhile, and the shorter time for which an evaluator relies on the report. The
// difference is for the write that ends the rollout.
inline constexpr Milliseconds RetirementLease{800};
inline constexpr Milliseconds RetirementValidity{400};

// Report of one node to another about rollouts.
struct RolloutReport
{
    std::vector<RolloutRecord> records;
    std::vector<TargetCounts> counts;
};

template <typename Inspector>
auto inspect(Inspector &inspector, LatencyBucket &bucket)
{
    return inspector(bucket.index, bucket.calls);
}

template <typename Inspector>
auto inspect(Inspector &inspector, RouteCounts &counts)
{
    return inspector(counts.route, counts.calls, counts.failures, counts.latencies);
}

template <typename Inspector>
auto inspect(Inspector &inspector, TargetCounts &counts)
{
    return inspector(counts.node, counts.process, counts.service, counts.version, counts.specCreated, counts.sequence, counts.retired, counts.routes);
}

template <typename Inspector>
auto inspect(Inspector &inspector, RolloutReport &report)
{
    return inspector(report.records, report.counts);
}

}
