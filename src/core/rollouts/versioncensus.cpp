#include "core/rollouts/versioncensus.h"

namespace Galenahill {

VersionCensus VersionCensus::of(const RolloutOrder &order, const std::vector<MemberRecord> &members)
{
    VersionCensus census;
    for (const auto &member : members) {
        const bool counts = member.service == order.service && member.state < MemberState::Gone && !member.version.value().empty();
        if (!counts) {
            continue;
        }
        const bool takesCalls = member.state == MemberState::Ready || member.state == MemberState::Suspect;
        if (member.version != order.version) {
            census.others.push_back(member.name);
            census.othersReady += takesCalls ? 1 : 0;
        } else if (takesCalls) {
            census.ofVersion.push_back(member.name);
        }
    }
    return census;
}

}
