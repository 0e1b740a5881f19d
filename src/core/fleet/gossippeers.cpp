#include "core/fleet/gossippeers.h"

#include <algorithm>

namespace Galenahill {

GossipPeers::GossipPeers(const MemberTable &members, std::mt19937_64 &random, Options options)
    : m_members(members)
    , m_random(random)
    , m_options(std::move(options))
{
}

std::vector<MemberRecord> GossipPeers::anywhere(std::size_t count, const Condition &wanted) const
{
    std::vector<MemberRecord> candidates;
    for (const auto &[name, member] : m_members.all()) {
        if (wanted(member)) {
            candidates.push_back(member.record);
        }
    }
    std::vector<MemberRecord> chosen;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(chosen), count, m_random);
    return chosen;
}

// Peers chosen at random are mostly in other data centres. Chosen within each, with some
// members that send across, news takes about as long for a fraction of the bytes
// between data centres.
std::vector<MemberRecord> GossipPeers::mostlyNear(std::size_t count, const Condition &wanted) const
{
    const auto isNear = [this](const MemberTable::Member &member) { return member.record.dataCentre == m_options.dataCentre; };
    const auto &all = m_members.all();
    const auto nearMembers = 1 + static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const auto &entry) { return isNear(entry.second); }));
    const auto share = std::min(1.0, static_cast<double>(m_options.bridgesPerDataCentre) / static_cast<double>(nearMembers));
    const bool bridges = std::bernoulli_distribution(share)(m_random);
    auto far = anywhere(count, [&](const MemberTable::Member &member) { return wanted(member) && !isNear(member); });
    const std::size_t toFar = bridges && !far.empty() ? 1 : 0;
    auto peers = anywhere(count - toFar, [&](const MemberTable::Member &member) { return wanted(member) && isNear(member); });
    const bool fewNear = nearMembers <= count;
    far.resize(std::min(far.size(), fewNear ? count - peers.size() : toFar));
    peers.insert(peers.end(), far.begin(), far.end());
    return peers;
}

}
