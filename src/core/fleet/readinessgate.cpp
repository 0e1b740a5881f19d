#include "core/fleet/readinessgate.h"

#include <algorithm>

namespace Galenahill {

void ReadinessGate::storeAnswered(Revision revision)
{
    m_storeAnswered = true;
    m_highest = std::max(m_highest, revision);
}

void ReadinessGate::storeFailed()
{
    m_storeFailed = true;
}

void ReadinessGate::memberHeard(const Endpoint &member, Revision revision)
{
    if (m_open) {
        return;
    }
    // Revision zero is a member that is itself starting; it vouches for
    // nothing.
    if (revision > Revision()) {
        m_heard.insert(member);
    }
    m_highest = std::max(m_highest, revision);
}

// A replaced node that took the first revision it met, from a member that is
// behind, would route callers by a configuration that its predecessor on that
// address had already left. One member may be behind; that several are and
// the store is out at the same time is what remains.
bool ReadinessGate::open(Revision held, std::size_t members)
{
    const auto needed = std::min(MembersAsked, std::max<std::size_t>(members, 1));
    const bool enoughMembers = m_storeFailed && m_heard.size() >= needed;
    m_open = m_open || ((m_storeAnswered || enoughMembers) && held >= m_highest);
    return m_open;
}

}
