#include "core/fleet/rendezvous.h"

#include <algorithm>
#include <xxhash.h>

namespace Galenahill {

namespace {

std::uint64_t weight(const std::string &role, const MemberRecord &record)
{
    return rendezvousWeight(role, record.name);
}

}

std::uint64_t rendezvousWeight(const std::string &role, const NodeName &member)
{
    const auto text = role + "/" + member.value();
    return XXH3_64bits(text.data(), text.size());
}

bool holdsRole(const std::string &role, std::size_t count, const MemberRecord &self, const std::vector<MemberRecord> &live)
{
    const auto selfWeight = weight(role, self);
    const auto before = std::count_if(live.begin(), live.end(), [&](const MemberRecord &record) {
        const bool candidate = record.dataCentre == self.dataCentre && record.name != self.name && record.state <= MemberState::Draining;
        return candidate && weight(role, record) > selfWeight;
    });
    return static_cast<std::size_t>(before) < count;
}

std::size_t rendezvousRank(const std::string &role, const MemberRecord &self, const std::vector<MemberRecord> &members)
{
    const auto selfWeight = weight(role, self);
    return static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(), [&](const MemberRecord &record) { return record.name != self.name && weight(role, record) > selfWeight; }));
}

std::size_t rendezvousFirst(const std::string &role, const std::vector<MemberRecord> &members)
{
    std::size_t first = 0;
    std::uint64_t highest = 0;
    for (std::size_t index = 0; index < members.size(); ++index) {
        const auto memberWeight = weight(role, members[index]);
        if (memberWeight > highest) {
            highest = memberWeight;
            first = index;
        }
    }
    return first;
}

}
