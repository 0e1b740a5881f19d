#include "core/rollouts/targetsbyversion.h"

namespace Galenahill {

TargetsByVersion TargetsByVersion::build(const RolloutSpec &spec, const std::vector<MemberRecord> &members)
{
    TargetsByVersion targets;
    for (const auto &member : members) {
        const bool included = member.service == spec.service && member.state < MemberState::Gone && !member.version.value().empty();
        if (!included) {
            continue;
        }
        const bool acceptsCalls = member.state == MemberState::Ready || member.state == MemberState::Suspect;
        if (member.version != spec.version) {
            targets.otherVersionTargets.push_back(member.name);
            targets.otherVersionReadyCount += acceptsCalls ? 1 : 0;
        } else if (acceptsCalls) {
            targets.newVersionTargets.push_back(member.name);
        }
    }
    return targets;
}

}
