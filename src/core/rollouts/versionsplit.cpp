#include "core/rollouts/versionsplit.h"

namespace Galenahill {

VersionSplit::VersionSplit(std::uint64_t seed)
    : m_random(seed)
{
}

bool VersionSplit::next(const ServiceName &service, double share)
{
    auto found = m_due.find(service);
    if (found == m_due.end()) {
        found = m_due.emplace(service, std::uniform_real_distribution<double>(0, 1)(m_random)).first;
    }
    auto &due = found->second;
    due += share;
    if (due < 1) {
        return false;
    }
    due -= 1;
    return true;
}

}
