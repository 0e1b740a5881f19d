#include "core/calls/lateoffers.h"

namespace Galenahill {

LateOffers::LateOffers(Options options)
    : m_options(options)
{
}

bool LateOffers::turnsAway(TimePoint now, TimePoint expectedEnd, TimePoint objective)
{
    if (expectedEnd <= objective) {
        return false;
    }
    const bool trialDue = m_lastTrial == TimePoint() || now - m_lastTrial >= m_options.trialInterval;
    if (trialDue) {
        m_lastTrial = now;
        return false;
    }
    return true;
}

}
