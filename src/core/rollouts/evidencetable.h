#pragma once

#include "core/rollouts/versioncounts.h"

#include <cstddef>
#include <map>
#include <utility>

namespace Galenahill {

// The counts of all targets of one service since one order, by node and process.
// Reports may come late, twice and out of order: each count keeps its highest value.
class EvidenceTable
{
public:
    // One process of the node beside a target, with one version of the target.
    struct Source
    {
        NodeName node;
        std::uint64_t process = 0;
        TargetVersion version;

        friend auto operator<=>(const Source &, const Source &) = default;
    };

    // Takes a report over; false if it is out of range.
    bool merge(const TargetCounts &counts, TimePoint now);

    const std::map<Source, TargetCounts> &all() const;

    // Whether the node's present process said so lately that its target is retired.
    bool isRetired(const NodeName &node, TimePoint now) const;

private:
    std::map<Source, TargetCounts> m_counts;
    // When the last report of each came.
    std::map<Source, TimePoint> m_heard;
};

}
