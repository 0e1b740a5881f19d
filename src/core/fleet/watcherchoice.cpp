#include "core/fleet/watcherchoice.h"

#include "core/fleet/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace Galenahill {

namespace {

// Links that are this many times slower than the fastest of the data centre are
// slow.
constexpr std::uint64_t SlowFactor = 4;

}

bool WatcherChoice::chooses(const MemberRecord &self, const std::vector<MemberRecord> &live) const
{
    // A suspect may be dead, and its part is taken over before that is sure.
    std::vector<MemberRecord> sound;
    std::copy_if(live.begin(), live.end(), std::back_inserter(sound), [](const MemberRecord &member) { return member.state <= MemberState::Draining; });
    std::map<DataCentre, std::uint32_t> fastest;
    for (const auto &member : sound) {
        auto &link = fastest[member.dataCentre];
        link = std::max(link, member.linkMbps);
    }
    const auto isFast = [&](const MemberRecord &member) { return member.linkMbps * SlowFactor >= fastest[member.dataCentre]; };
    std::map<DataCentre, std::size_t> fast;
    for (const auto &member : sound) {
        fast[member.dataCentre] += isFast(member) ? 1 : 0;
    }
    const auto share = most / std::max<std::size_t>(fast.size(), 1);
    const auto each = std::min(perDataCentre, std::max(share, leastPerDataCentre));
    std::size_t watchers = 0;
    for (const auto &[dataCentre, count] : fast) {
        watchers += std::min(count, each);
    }
    if (watchers < enough) {
        return holdsRole("watch", each, self, sound);
    }
    std::vector<MemberRecord> candidates;
    std::copy_if(sound.begin(), sound.end(), std::back_inserter(candidates), isFast);
    return isFast(self) && holdsRole("watch", each, self, candidates);
}

}
