#include "core/fleet/updatequeue.h"

#include <algorithm>
#include <cmath>

namespace Galenahill {

namespace {

// Rounds in which an update is sent, each time to a few members. A member that they all miss learns
// it from its next probe exchange with the member that the update is about.
std::uint32_t rounds(std::size_t fleetSize)
{
    return 2 + static_cast<std::uint32_t>(std::ceil(std::log10(static_cast<double>(fleetSize + 1))));
}

}

void UpdateQueue::add(const MemberRecord &record, std::size_t fleetSize)
{
    std::erase_if(m_updates, [&](const QueuedUpdate &update) { return update.record.name == record.name; });
    m_updates.push_back({record, rounds(fleetSize)});
}

std::vector<MemberRecord> UpdateQueue::nextBatch(std::size_t maxRecords)
{
    std::vector<MemberRecord> records;
    // Least often sent first, so that old updates don't delay new ones.
    std::stable_sort(
        m_updates.begin(), m_updates.end(), [](const QueuedUpdate &left, const QueuedUpdate &right) { return left.roundsLeft > right.roundsLeft; });
    for (auto &update : m_updates) {
        if (records.size() == maxRecords) {
            break;
        }
        records.push_back(update.record);
        --update.roundsLeft;
    }
    std::erase_if(m_updates, [](const QueuedUpdate &update) { return update.roundsLeft == 0; });
    return records;
}

bool UpdateQueue::empty() const
{
    return m_updates.empty();
}

}
