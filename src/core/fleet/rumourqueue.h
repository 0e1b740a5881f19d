#pragma once

#include "core/fleet/memberrecord.h"

#include <vector>

namespace Galenahill {

// Fresh member records on their way to the other members, each passed on for
// a bounded number of rounds.
class RumourQueue
{
public:
    // Puts a record in, in place of an older one of the same member, for as
    // many rounds as a fleet of that size needs.
    void add(const MemberRecord &record, std::size_t fleetSize);

    // Gives the least often passed on and counts one round for each.
    std::vector<MemberRecord> take(std::size_t most);

    bool empty() const;

private:
    struct Rumour
    {
        MemberRecord record;
        std::uint32_t left = 0;
    };

    std::vector<Rumour> m_rumours;
};

}
