#pragma once

#include "core/fleet/memberrecord.h"
#include "core/rollouts/rolloutrecord.h"

#include <vector>

namespace Galenahill {

// The targets of a service grouped by version, as reported by the members.
struct TargetsByVersion
{
    // Targets of the new version that accept calls.
    std::vector<NodeName> newVersionTargets;
    // Targets of other versions: the number of those that accept calls, and the names of all whose
    // VM is alive.
    std::size_t otherVersionReadyCount = 0;
    std::vector<NodeName> otherVersionTargets;

    static TargetsByVersion build(const RolloutSpec &spec, const std::vector<MemberRecord> &members);
};

}
