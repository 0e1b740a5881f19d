#pragma once

#include "core/fleet/memberrecord.h"

#include <cstddef>
#include <vector>

namespace Galenahill {

// Which members of a data centre watch the store. Every change comes to each of
// them in full: a document of 1,600 routes keeps a link of 5 Mbit/s busy for half a
// second, in which the calls of that VM wait. So it is those with fast links where
// there are enough of them, in rendezvous order.
struct WatcherChoice
{
    // Watchers of each data centre at the most.
    std::size_t perDataCentre = 4;

    // Watchers of the whole fleet at the most, but at least `leastPerDataCentre` in
    // each. Each change costs one call to the store a watcher.
    std::size_t most = 16;
    std::size_t leastPerDataCentre = 2;

    // Fast watchers in the whole fleet that are enough: a herd in which every other
    // member dies takes all of six along once in 64 times. With fewer, slow ones
    // watch as well.
    std::size_t enough = 6;

    bool chooses(const MemberRecord &self, const std::vector<MemberRecord> &live) const;
};

}
