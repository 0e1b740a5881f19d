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

void ReadinessGate::revisionAdvertised(const Endpoint &member, Revision revision)
{
    if (m_ready) {
        return;
    }
    // A member at revision zero is itself starting and doesn't count.
    if (revision > Revision()) {
        m_advertisers.insert(member);
    }
    m_highest = std::max(m_highest, revision);
}

// A replaced node that adopted the first advertised revision, from a member that is behind, would
// route callers by a configuration that its predecessor at the same address had already replaced.
// Asking several members tolerates one that is behind; several members behind while the store is
// unavailable remain a risk.
bool ReadinessGate::checkReady(Revision held, std::size_t members)
{
    const auto needed = std::min(RequiredMembers, std::max<std::size_t>(members, 1));
    const bool enoughMembers = m_storeFailed && m_advertisers.size() >= needed;
    m_ready = m_ready || ((m_storeAnswered || enoughMembers) && held >= m_highest);
    return m_ready;
}

}
