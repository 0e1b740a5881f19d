#pragma once

#include "core/fleet/memberrecord.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace Galenahill {

// The other members as the rollouts see them: who may report what, who is a judge, and
// who hears of the stages next.
class RolloutPeers
{
public:
    RolloutPeers(MemberRecord self, std::uint64_t seed);

    // All members that aren't gone, with this one.
    void setMembers(const std::vector<MemberRecord> &members);

    const std::vector<MemberRecord> &members() const;

    // Whether the address is that of a member.
    bool isMember(const Endpoint &from) const;

    // Whether the node is a member of the service.
    bool serves(const NodeName &node, const ServiceName &service) const;

    // Whether this node is a judge, and how many judges come before it.
    bool isJudge() const;
    std::size_t rank() const;

    // The other judges, and all other members.
    const std::vector<Endpoint> &judges() const;
    const std::vector<Endpoint> &others() const;

    // A random member, mostly of the own data centre; none if there is no other.
    std::optional<Endpoint> next();

private:
    MemberRecord m_self;
    std::mt19937_64 m_random;
    std::vector<MemberRecord> m_members;
    std::unordered_map<NodeName, ServiceName> m_services;
    std::unordered_map<std::string, NodeName> m_senders;
    std::vector<Endpoint> m_others;
    std::vector<Endpoint> m_near;
    std::vector<Endpoint> m_far;
    std::vector<Endpoint> m_judges;
    bool m_isJudge = false;
    std::size_t m_rank = 0;
};

}
