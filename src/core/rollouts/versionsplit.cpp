#include "core/rollouts/versionsplit.h"

namespace Galenahill {

VersionSplit::VersionSplit(std::uint64_t seed)
    : m_random(seed)
{
}

bool VersionSplit::next(const ServiceName &service, double share)
{
    auto found = m_accumulatedShares.find(service);
    if (found == m_accumulatedShares.end()) {
        found = m_accumulatedShares.emplace(service, std::uniform_real_distribution<double>(0, 1)(m_random)).first;
    }
    auto &accumulated = found->second;
    accumulated += share;
    if (accumulated < 1) {
        return false;
    }
    accumulated -= 1;
    return true;
}

}
