#pragma once

#include "core/rollouts/rolloutrecord.h"

#include <map>
#include <vector>

namespace Galenahill {

// What a rollout says of the targets of one service.
struct VersionRule
{
    enum class Mode {
        // The version gets its share, the others get the rest.
        Trial,
        // The version gets no calls.
        Excluded,
        // The version gets all calls.
        Only,
    };

    TargetVersion version;
    Mode mode = Mode::Trial;
    double share = 0;
    // In a trial, the targets of the version that get its calls; empty: all.
    std::vector<NodeName> targets;

    friend bool operator==(const VersionRule &, const VersionRule &) = default;
};

using VersionRules = std::map<ServiceName, VersionRule>;

}
