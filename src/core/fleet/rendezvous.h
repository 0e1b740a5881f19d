#pragma once

#include "core/fleet/memberrecord.h"

#include <vector>

namespace Galenahill {

// Whether `self` is among the first `count` of the live members of its data
// centre in the rendezvous order of that role. Members with different views
// may disagree; a role must therefore be harmless when held twice.
bool holdsRole(const std::string &role, std::size_t count, const MemberRecord &self, const std::vector<MemberRecord> &live);

// Number of the members that come before `self` in the rendezvous order of the role.
std::size_t rankOf(const std::string &role, const MemberRecord &self, const std::vector<MemberRecord> &members);

}
