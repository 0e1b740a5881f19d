#pragma once

#include "core/fleet/memberrecord.h"

#include <vector>

namespace Galenahill {

// Member records to send to other members, each for a bounded number of rounds.
class UpdateQueue
{
public:
    // Queues a record, replacing an older one of the same member, for as many rounds as a fleet of
    // this size needs.
    void add(const MemberRecord &record, std::size_t fleetSize);

    // Returns the least often sent records and counts one round for each.
    std::vector<MemberRecord> nextBatch(std::size_t maxRecords);

    bool empty() const;

private:
    struct QueuedUpdate
    {
        MemberRecord record;
        std::uint32_t roundsLeft = 0;
    };

    std::vector<QueuedUpdate> m_updates;
};

}
