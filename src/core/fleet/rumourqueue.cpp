#include "core/fleet/rumourqueue.h"

#include <algorithm>
#include <cmath>

namespace Galenahill {

namespace {

// Rounds in which one update is passed on, each to a few members. A member that all of
// them missed learns the update with the next probe of the member that it is about.
std::uint32_t rounds(std::size_t fleetSize)
{
    return 2 + static_cast<std::uint32_t>(std::ceil(std::log10(static_cast<double>(fleetSize + 1))));
}

}

void RumourQueue::add(const MemberRecord &record, std::size_t fleetSize)
{
    std::erase_if(m_rumours, [&](const Rumour &rumour) { return rumour.record.name == record.name; });
    m_rumours.push_back({record, rounds(fleetSize)});
}

std::vector<MemberRecord> RumourQueue::take(std::size_t most)
{
    std::vector<MemberRecord> records;
    // The least often sent first, so that fresh news isn't held up by old.
    std::stable_sort(m_rumours.begin(), m_rumours.end(), [](const Rumour &left, const Rumour &right) { return left.left > right.left; });
    for (auto &rumour : m_rumours) {
        if (records.size() == most) {
            break;
        }
        records.push_back(rumour.record);
        --rumour.left;
    }
    std::erase_if(m_rumours, [](const Rumour &rumour) { return rumour.left == 0; });
    return records;
}

bool RumourQueue::empty() const
{
    return m_rumours.empty();
}

}
