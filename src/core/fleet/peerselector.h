#pragma once

#include "core/fleet/membertable.h"

#include <functional>
#include <random>
#include <vector>

namespace Galenahill {

// Selects random members of a table as the peers of one protocol round.
class PeerSelector
{
public:
    using Condition = std::function<bool(const MemberTable::Member &)>;

    struct Options
    {
        DataCentre dataCentre;
        // Average number of members of a data centre that send to another one in a round. In a
        // smaller data centre all members do.
        std::uint32_t bridgesPerDataCentre = 8;
    };

    PeerSelector(const MemberTable &members, std::mt19937_64 &random, Options options);

    // Random members of any data centre that meet the condition.
    std::vector<MemberRecord> selectAny(std::size_t count, const Condition &condition) const;

    // Random members of the local data centre that meet the condition, one of them now and then
    // replaced by a member of another data centre. If the local data centre has no more than
    // `count` members, members of other data centres fill the rest.
    std::vector<MemberRecord> selectMostlyLocal(std::size_t count, const Condition &condition) const;

private:
    const MemberTable &m_members;
    std::mt19937_64 &m_random;
    Options m_options;
};

}
