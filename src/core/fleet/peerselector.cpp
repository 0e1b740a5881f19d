#include "core/fleet/peerselector.h"

#include <algorithm>

namespace Galenahill {

PeerSelector::PeerSelector(const MemberTable &members, std::mt19937_64 &random, Options options)
    : m_members(members)
    , m_random(random)
    , m_options(std::move(options))
{
}

std::vector<MemberRecord> PeerSelector::selectAny(std::size_t count, const Condition &condition) const
{
    std::vector<MemberRecord> candidates;
    for (const auto &[name, member] : m_members.all()) {
        if (condition(member)) {
            candidates.push_back(member.record);
        }
    }
    std::vector<MemberRecord> chosen;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(chosen), count, m_random);
    return chosen;
}

// Peers chosen uniformly from the whole fleet are mostly in other data centres. Choosing within the
// data centre, while some members send across, spreads updates about as fast for a fraction of the
// bytes between data centres.
std::vector<MemberRecord> PeerSelector::selectMostlyLocal(std::size_t count, const Condition &condition) const
{
    const auto isLocal = [this](const MemberTable::Member &member) { return member.record.dataCentre == m_options.dataCentre; };
    const auto &all = m_members.all();
    const auto localMembers = 1 + static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const auto &entry) { return isLocal(entry.second); }));
    const auto share = std::min(1.0, static_cast<double>(m_options.bridgesPerDataCentre) / static_cast<double>(localMembers));
    const bool isBridge = std::bernoulli_distribution(share)(m_random);
    auto remote = selectAny(count, [&](const MemberTable::Member &member) { return condition(member) && !isLocal(member); });
    const std::size_t remoteCount = isBridge && !remote.empty() ? 1 : 0;
    auto peers = selectAny(count - remoteCount, [&](const MemberTable::Member &member) { return condition(member) && isLocal(member); });
    const bool fewLocal = localMembers <= count;
    remote.resize(std::min(remote.size(), fewLocal ? count - peers.size() : remoteCount));
    peers.insert(peers.end(), remote.begin(), remote.end());
    return peers;
}

}
