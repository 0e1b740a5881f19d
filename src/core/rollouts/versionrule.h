#pragma once

#include "core/rollouts/rolloutrecord.h"

#include <map>
#include <vector>

namespace Galenahill {

// How a rollout distributes the calls of one service over the versions of its targets.
struct VersionRule
{
    enum class Mode {
        // The version gets its share of the calls, the other versions get the rest.
        Canary,
        // The version gets no calls.
        Excluded,
        // The version gets all calls.
        Only,
    };

    TargetVersion version;
    Mode mode = Mode::Canary;
    double share = 0;
    // In canary mode, the targets of the version that get its calls; empty: all.
    std::vector<NodeName> targets;

    friend bool operator==(const VersionRule &, const VersionRule &) = default;
};

using VersionRules = std::map<ServiceName, VersionRule>;

}
