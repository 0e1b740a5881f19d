#pragma once

#include "core/rollouts/rolloutrecord.h"

#include <cstdint>
#include <vector>

namespace Galenahill {

// How a target ended a call.
enum class TargetEnd {
    Answered,
    // With a failure of its own.
    Failed,
    // The call was given up, or its time was over, while the target worked on it.
    GivenUp,
};

// Calls that took a time within one range. Each range reaches from its lower end to
// 1.4 times that; the last one holds those that were given up.
struct TimeRange
{
    static constexpr std::uint8_t GivenUp = 40;
    static constexpr std::uint8_t Count = GivenUp + 1;
    // Ranges between a time and its double.
    static constexpr std::uint8_t PerDouble = 2;

    std::uint8_t range = 0;
    std::uint32_t calls = 0;

    static std::uint8_t of(Milliseconds time);

    friend bool operator==(const TimeRange &, const TimeRange &) = default;
};

// What a target did to the calls of one route since an order. Grows only.
struct RouteCounts
{
    RouteName route;
    std::uint32_t calls = 0;
    std::uint32_t failures = 0;
    // By the time that they took at the target; without those of a target that was
    // just started.
    std::vector<TimeRange> times;

    void add(TargetEnd end, Milliseconds time, bool timed);

    friend bool operator==(const RouteCounts &, const RouteCounts &) = default;
};

// The counts of one target, as the node beside it tells them.
struct TargetCounts
{
    NodeName node;
    // When the node's process started. A later one counts from zero again.
    std::uint64_t process = 0;
    ServiceName service;
    TargetVersion version;
    // The order since which they count.
    ObjectVersion order;
    // Grows with each report of the process.
    std::uint32_t report = 0;
    // No call runs at the target, and none will for a while: see RetirementPromise.
    bool retired = false;
    std::vector<RouteCounts> routes;
};

// Time after a report of retirement for which the node sends its target no call,
// whatever it hears meanwhile, and time for which a judge believes the report. The
// difference is for the write that ends the rollout.
inline constexpr Milliseconds RetirementPromise{800};
inline constexpr Milliseconds RetirementBelief{400};

// What one node tells another of rollouts.
struct RolloutReport
{
    std::vector<RolloutRecord> records;
    std::vector<TargetCounts> counts;
};

template <typename Inspector>
auto inspect(Inspector &inspector, TimeRange &times)
{
    return inspector(times.range, times.calls);
}

template <typename Inspector>
auto inspect(Inspector &inspector, RouteCounts &counts)
{
    return inspector(counts.route, counts.calls, counts.failures, counts.times);
}

template <typename Inspector>
auto inspect(Inspector &inspector, TargetCounts &counts)
{
    return inspector(counts.node, counts.process, counts.service, counts.version, counts.order, counts.report, counts.retired, counts.routes);
}

template <typename Inspector>
auto inspect(Inspector &inspector, RolloutReport &report)
{
    return inspector(report.records, report.counts);
}

}
