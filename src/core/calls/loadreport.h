#pragma once

#include "common/identifiers.h"

#include <cstdint>
#include <vector>

namespace Galenahill {

// Load of one target as its sidecar measured it.
struct TargetReport
{
    NodeName target;
    // Incarnation of the member on the target's VM.
    std::uint64_t incarnation = 0;
    // Calls that the target executes and that its sidecar queues.
    std::uint32_t calls = 0;
    // Calls that it may execute at a time; zero if it accepts none.
    std::uint32_t limit = 0;
    // Expected wait of a further call for a slot, in milliseconds.
    std::uint32_t waitMs = 0;
    // Time since the sidecar measured it, in milliseconds.
    std::uint32_t ageMs = 0;
};

// Load of all targets of a service in one data centre.
struct PoolReport
{
    DataCentre dataCentre;
    ServiceName service;
    std::uint32_t calls = 0;
    std::uint32_t limit = 0;
    // Mean expected wait for a slot over the targets, in milliseconds.
    std::uint32_t waitMs = 0;
    std::uint32_t ageMs = 0;
};

// Load of targets as one node sends it to another.
struct LoadReport
{
    std::vector<TargetReport> targets;
    std::vector<PoolReport> pools;
};

template <typename Inspector>
auto inspect(Inspector &inspector, TargetReport &report)
{
    return inspector(report.target, report.incarnation, report.calls, report.limit, report.waitMs, report.ageMs);
}

template <typename Inspector>
auto inspect(Inspector &inspector, PoolReport &report)
{
    return inspector(report.dataCentre, report.service, report.calls, report.limit, report.waitMs, report.ageMs);
}

template <typename Inspector>
auto inspect(Inspector &inspector, LoadReport &report)
{
    return inspector(report.targets, report.pools);
}

}
