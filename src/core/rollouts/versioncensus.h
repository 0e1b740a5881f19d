#pragma once

#include "core/fleet/memberrecord.h"
#include "core/rollouts/rolloutrecord.h"

#include <vector>

namespace Galenahill {

// The targets of a service by their version, as the members tell it.
struct VersionCensus
{
    // Targets of the version that take calls.
    std::vector<NodeName> ofVersion;
    // Targets of other versions: those that take calls, and all whose VM lives.
    std::size_t othersReady = 0;
    std::vector<NodeName> others;

    static VersionCensus of(const RolloutOrder &order, const std::vector<MemberRecord> &members);
};

}
