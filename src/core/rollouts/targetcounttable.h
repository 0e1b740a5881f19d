#pragma once

#include "core/rollouts/versioncounts.h"

#include <cstddef>
#include <map>
#include <utility>

namespace Galenahill {

// The call counts of all targets of one service since a rollout spec was created, by node and
// process. Reports may arrive late, twice and out of order, so each count keeps its highest value.
class TargetCountTable
{
public:
    // One process of the node beside a target, together with one version of that target.
    struct Source
    {
        NodeName node;
        std::uint64_t process = 0;
        TargetVersion version;

        friend auto operator<=>(const Source &, const Source &) = default;
    };

    // Merges a report; returns false if it is out of range or the table is full.
    bool merge(const TargetCounts &counts, TimePoint now);

    const std::map<Source, TargetCounts> &all() const;

    // Whether the node's latest process reported within RetirementValidity that its target is
    // retired.
    bool isRetired(const NodeName &node, TimePoint now) const;

private:
    std::map<Source, TargetCounts> m_counts;
    // Time of the latest report from each source.
    std::map<Source, TimePoint> m_lastReported;
};

}
