#pragma once

#include "core/fleet/memberrecord.h"

#include <vector>

namespace Galenahill {

// Weight of the member in the rendezvous-hash order of the role; the highest is first.
std::uint64_t rendezvousWeight(const std::string &role, const NodeName &member);

// Whether `self` is among the first `count` live members of its data centre in the rendezvous-hash
// order of the role. Members with different views may disagree, so a role must be harmless when
// more members hold it.
bool holdsRole(const std::string &role, std::size_t count, const MemberRecord &self, const std::vector<MemberRecord> &live);

// Number of members before `self` in the rendezvous-hash order of the role.
std::size_t rendezvousRank(const std::string &role, const MemberRecord &self, const std::vector<MemberRecord> &members);

// Index of the first member in the rendezvous-hash order of the role. There must be one.
std::size_t rendezvousFirst(const std::string &role, const std::vector<MemberRecord> &members);

}
