#include "core/rollouts/rolloutpeers.h"

#include "core/fleet/rendezvous.h"

namespace Galenahill {

namespace {

constexpr const char *JudgeRole = "rollouts";

// Judges of each data centre: one may be gone without anybody having noticed yet.
constexpr std::size_t JudgesPerDataCentre = 2;

// Of this many reports of stages, one goes to another data centre.
constexpr int NearReports = 4;

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
    m_others.clear();
    m_near.clear();
    m_far.clear();
    m_judges.clear();
    m_isJudge = holdsRole(JudgeRole, JudgesPerDataCentre, m_self, members);
    std::vector<MemberRecord> judges;
    for (const auto &member : members) {
        m_services.emplace(member.name, member.service);
        if (holdsRole(JudgeRole, JudgesPerDataCentre, member, members) && member.state <= MemberState::Draining) {
            judges.push_back(member);
        }
        if (member.name == m_self.name) {
            continue;
        }
        m_senders.emplace(toString(member.control()), member.name);
        m_others.push_back(member.control());
        (member.dataCentre == m_self.dataCentre ? m_near : m_far).push_back(member.control());
    }
    m_rank = rankOf(JudgeRole, m_self, judges);
    for (const auto &member : judges) {
        if (member.name != m_self.name) {
            m_judges.push_back(member.control());
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

bool RolloutPeers::isJudge() const
{
    return m_isJudge;
}

std::size_t RolloutPeers::rank() const
{
    return m_rank;
}

const std::vector<Endpoint> &RolloutPeers::judges() const
{
    return m_judges;
}

const std::vector<Endpoint> &RolloutPeers::others() const
{
    return m_others;
}

std::optional<Endpoint> RolloutPeers::next()
{
    const bool goesFar = m_near.empty() || std::uniform_int_distribution<int>(0, NearReports - 1)(m_random) == 0;
    const auto &peers = goesFar && !m_far.empty() ? m_far : m_near;
    if (peers.empty()) {
        return std::nullopt;
    }
    return peers[std::uniform_int_distribution<std::size_t>(0, peers.size() - 1)(m_random)];
}

}
