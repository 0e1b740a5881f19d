#include "core/rollouts/rolloutpeers.h"

#include "core/fleet/rendezvous.h"

namespace Galenahill {

namespace {

constexpr const char *EvaluatorRole = "rollouts";

// Evaluators in each data centre: one may have failed without being detected yet.
constexpr std::size_t EvaluatorsPerDataCentre = 2;

// One in this many reports of stages goes to a remote data centre.
constexpr int ReportsPerRemoteReport = 4;

}

RolloutPeers::RolloutPeers(MemberRecord self, std::uint64_t seed)
    : m_self(std::move(self))
    , m_random(seed)
{
}

void RolloutPeers::setMembers(const std::vector<MemberRecord> &members)
{
    m_members = members;
    m_services.clear();
    m_senders.clear();
    m_peerAddresses.clear();
    m_local.clear();
    m_remote.clear();
    m_evaluators.clear();
    m_isEvaluator = holdsRole(EvaluatorRole, EvaluatorsPerDataCentre, m_self, members);
    std::vector<MemberRecord> allEvaluators;
    for (const auto &member : members) {
        m_services.emplace(member.name, member.service);
        if (holdsRole(EvaluatorRole, EvaluatorsPerDataCentre, member, members) && member.state <= MemberState::Draining) {
            allEvaluators.push_back(member);
        }
        if (member.name == m_self.name) {
            continue;
        }
        m_senders.emplace(toString(member.control()), member.name);
        m_peerAddresses.push_back(member.control());
        (member.dataCentre == m_self.dataCentre ? m_local : m_remote).push_back(member.control());
    }
    m_rank = rendezvousRank(EvaluatorRole, m_self, allEvaluators);
    for (const auto &member : allEvaluators) {
        if (member.name != m_self.name) {
            m_evaluators.push_back(member.control());
        }
    }
}

const std::vector<MemberRecord> &RolloutPeers::members() const
{
    return m_members;
}

bool RolloutPeers::isMember(const Endpoint &from) const
{
    return m_senders.contains(toString(from));
}

bool RolloutPeers::serves(const NodeName &node, const ServiceName &service) const
{
    const auto found = m_services.find(node);
    return found != m_services.end() && found->second == service;
}

bool RolloutPeers::isEvaluator() const
{
    return m_isEvaluator;
}

std::size_t RolloutPeers::rank() const
{
    return m_rank;
}

const std::vector<Endpoint> &RolloutPeers::evaluators() const
{
    return m_evaluators;
}

const std::vector<Endpoint> &RolloutPeers::peerAddresses() const
{
    return m_peerAddresses;
}

std::optional<Endpoint> RolloutPeers::randomPeer()
{
    const bool toRemote = m_local.empty() || std::uniform_int_distribution<int>(0, ReportsPerRemoteReport - 1)(m_random) == 0;
    const auto &peers = toRemote && !m_remote.empty() ? m_remote : m_local;
    if (peers.empty()) {
        return std::nullopt;
    }
    return peers[std::uniform_int_distribution<std::size_t>(0, peers.size() - 1)(m_random)];
}

}
