#include "core/fleet/watcherselection.h"

#include "core/fleet/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace Galenahill {

namespace {

// Links slower than the fastest of the data centre by more than this factor count as slow.
constexpr std::uint64_t SlowFactor = 4;

constexpr const char *Role = "watch";

}

WatcherSelection::Candidates WatcherSelection::candidates(const std::vector<MemberRecord> &live) const
{
    // A suspect may be dead; its role is taken over before that is certain.
    std::vector<MemberRecord> healthy;
    std::copy_if(live.begin(), live.end(), std::back_inserter(healthy), [](const MemberRecord &member) { return member.state <= MemberState::Draining; });
    std::map<DataCentre, std::uint32_t> fastest;
    for (const auto &member : healthy) {
        auto &link = fastest[member.dataCentre];
        link = std::max(link, member.linkMbps);
    }
    const auto isFast = [&](const MemberRecord &member) { return member.linkMbps * SlowFactor >= fastest[member.dataCentre]; };
    std::map<DataCentre, std::size_t> fast;
    for (const auto &member : healthy) {
        fast[member.dataCentre] += isFast(member) ? 1 : 0;
    }
    const auto share = maxTotal / std::max<std::size_t>(fast.size(), 1);
    const auto watchersPerDataCentre = std::min(maxPerDataCentre, std::max(share, minPerDataCentre));
    std::size_t watchers = 0;
    for (const auto &[dataCentre, count] : fast) {
        watchers += std::min(count, watchersPerDataCentre);
    }
    if (watchers >= sufficientFastWatchers) {
        std::erase_if(healthy, [&](const MemberRecord &member) { return !isFast(member); });
    }
    return {std::move(healthy), watchersPerDataCentre};
}

bool WatcherSelection::selects(const MemberRecord &self, const std::vector<MemberRecord> &live) const
{
    const auto [members, perDataCentre] = candidates(live);
    const bool isCandidate = std::any_of(members.begin(), members.end(), [&](const MemberRecord &member) { return member.name == self.name; });
    return isCandidate && holdsRole(Role, perDataCentre, self, members);
}

std::vector<MemberRecord> WatcherSelection::watchers(const std::vector<MemberRecord> &live) const
{
    auto [members, perDataCentre] = candidates(live);
    const auto weight = [](const MemberRecord &member) { return rendezvousWeight(Role, member.name); };
    std::sort(members.begin(), members.end(), [&](const MemberRecord &left, const MemberRecord &right) { return weight(left) > weight(right); });
    std::map<DataCentre, std::size_t> chosen;
    std::erase_if(members, [&, limit = perDataCentre](const MemberRecord &member) { return chosen[member.dataCentre]++ >= limit; });
    return members;
}

}
