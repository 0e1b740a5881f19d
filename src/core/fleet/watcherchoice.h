#pragma once

#include "core/fleet/memberrecord.h"

#include <cstddef>
#include <vector>

namespace Galenahill {

// Which members of a data centre watch the store, in rendezvous order. Every change
// comes to each of them in full, so that members with fast links go first.
struct WatcherChoice
{
    // Watchers of each data centre at the most.
    std::size_t perDataCentre = 4;

    // Watchers of the whole fleet at the most, but at least `leastPerDataCentre` in
    // each. Each change costs one call to the store a watcher.
    std::size_t most = 16;
    std::size_t leastPerDataCentre = 2;

    // Fast watchers in the whole fleet that are enough to outlive the loss of half of
    // it. With fewer, slow ones watch as well.
    std::size_t enough = 6;

    bool chooses(const MemberRecord &self, const std::vector<MemberRecord> &live) const;
};

}
