#include "core/quarantine/suspecttarget.h"

#include "core/fleet/rendezvous.h"

#include <algorithm>

namespace Galenahill {

const MemberRecord *targetForSuspect(RequestDigest digest, const std::vector<MemberRecord> &targets, const std::vector<NodeName> &ended)
{
    const auto hasEnded = [&ended](const MemberRecord &target) { return std::find(ended.begin(), ended.end(), target.name) != ended.end(); };
    const bool allEnded = std::all_of(targets.begin(), targets.end(), hasEnded);
    const MemberRecord *chosen = nullptr;
    std::uint64_t highest = 0;
    for (const auto &target : targets) {
        const auto weight = rendezvousWeight(toString(digest), target.name);
        if ((allEnded || !hasEnded(target)) && (chosen == nullptr || weight > highest)) {
            chosen = &target;
            highest = weight;
        }
    }
    return chosen;
}

}
