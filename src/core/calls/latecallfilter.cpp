#include "core/calls/latecallfilter.h"

namespace Galenahill {

LateCallFilter::LateCallFilter(Options options)
    : m_options(options)
{
}

bool LateCallFilter::shouldReject(TimePoint now, TimePoint expectedEnd, TimePoint objective)
{
    if (expectedEnd <= objective) {
        return false;
    }
    const bool probeDue = m_lastProbe == TimePoint() || now - m_lastProbe >= m_options.probeInterval;
    if (probeDue) {
        m_lastProbe = now;
        return false;
    }
    return true;
}

}
