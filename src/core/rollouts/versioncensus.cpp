#include "core/rollouts/versioncensus.h"

namespace Galenahill {

VersionCensus VersionCensus::of(const RolloutOrder &spec, const std::vector<MemberRecord> &members)
{
    VersionCensus targets;
    for (const auto &member : members) {
        const bool included = member.service == spec.service && member.state < MemberState::Gone && !member.version.value().empty();
        if (!included) {
            continue;
        }
        const bool acceptsCalls = member.state == MemberState::Ready || member.state == MemberState::Suspect;
        if (member.version != spec.version) {
            targets.others.push_back(member.name);
            targets.othersReady += acceptsCalls ? 1 : 0;
        } else if (acceptsCalls) {
            targets.ofVersion.push_back(member.name);
        }
    }
    return targets;
}

}
