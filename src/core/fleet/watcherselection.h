#pragma once

#include "core/fleet/memberrecord.h"

#include <cstddef>
#include <vector>

namespace Galenahill {

// Selects the members that watch the store, in the rendezvous-hash order of each data centre. Every
// change is sent to each watcher in full, so members with fast links are preferred.
struct WatcherSelection
{
    // Maximum number of watchers per data centre.
    std::size_t maxPerDataCentre = 4;

    // Maximum number of watchers in the whole fleet, though at least `minPerDataCentre` in each
    // data centre. Each change costs one store call per watcher.
    std::size_t maxTotal = 16;
    std::size_t minPerDataCentre = 2;

    // Number of watchers with fast links in the whole fleet that is enough to survive the loss of
    // half of it. With fewer, members with slow links watch as well.
    std::size_t sufficientFastWatchers = 6;

    bool selects(const MemberRecord &self, const std::vector<MemberRecord> &live) const;

    // All members that are selected.
    std::vector<MemberRecord> watchers(const std::vector<MemberRecord> &live) const;

private:
    // The members to choose from, and how many of each data centre are chosen.
    struct Candidates
    {
        std::vector<MemberRecord> members;
        std::size_t perDataCentre = 0;
    };

    Candidates candidates(const std::vector<MemberRecord> &live) const;
};

}
