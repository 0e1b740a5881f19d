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
    const bool probeDue = m_lastProbe == TimePoint() || now - m_lastProbe >= m_options.trialInterval;
    if (probeDue) {
        m_lastProbe = now;
        return false;
    }
    return true;
}

}
