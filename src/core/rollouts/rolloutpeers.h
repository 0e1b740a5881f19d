#pragma once

#include "core/fleet/memberrecord.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace Galenahill {

// The other members in their roles for rollouts: which node may report counts of which service,
// which are evaluators, and which member gets the next report.
class RolloutPeers
{
public:
    RolloutPeers(MemberRecord self, std::uint64_t seed);

    // Sets all members that aren't gone, including this one.
    void setMembers(const std::vector<MemberRecord> &members);

    const std::vector<MemberRecord> &members() const;

    // Whether the address is that of a member.
    bool isMember(const Endpoint &from) const;

    // Whether the node is a member of the service.
    bool serves(const NodeName &node, const ServiceName &service) const;

    // Whether this node is an evaluator, and how many evaluators rank before it.
    bool isEvaluator() const;
    std::size_t rank() const;

    // The other evaluators, and all other members.
    const std::vector<Endpoint> &evaluators() const;
    const std::vector<Endpoint> &peerAddresses() const;

    // A random member, usually of the local data centre; none if this is the only one.
    std::optional<Endpoint> randomPeer();

private:
    MemberRecord m_self;
    std::mt19937_64 m_random;
    std::vector<MemberRecord> m_members;
    std::unordered_map<NodeName, ServiceName> m_services;
    std::unordered_map<std::string, NodeName> m_senders;
    std::vector<Endpoint> m_peerAddresses;
    std::vector<Endpoint> m_local;
    std::vector<Endpoint> m_remote;
    std::vector<Endpoint> m_evaluators;
    bool m_isEvaluator = false;
    std::size_t m_rank = 0;
};

}
