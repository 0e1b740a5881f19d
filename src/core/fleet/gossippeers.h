#pragma once

#include "core/fleet/membertable.h"

#include <functional>
#include <random>
#include <vector>

namespace Galenahill {

// Chooses random members of a table, as peers of one round of a protocol.
class GossipPeers
{
public:
    using Condition = std::function<bool(const MemberTable::Member &)>;

    struct Options
    {
        DataCentre dataCentre;
        // Members of the data centre that tell another one in a round, on average.
        // Of a smaller data centre all do.
        std::uint32_t bridgesPerDataCentre = 8;
    };

    GossipPeers(const MemberTable &members, std::mt19937_64 &random, Options options);

    // Any members for which the condition holds.
    std::vector<MemberRecord> anywhere(std::size_t count, const Condition &wanted) const;

    // Members of the own data centre, but for one of another now and then; more of
    // those if the own one is smaller than the count.
    std::vector<MemberRecord> mostlyNear(std::size_t count, const Condition &wanted) const;

private:
    const MemberTable &m_members;
    std::mt19937_64 &m_random;
    Options m_options;
};

}
