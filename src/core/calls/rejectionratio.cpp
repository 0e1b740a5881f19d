#include "core/calls/rejectionratio.h"

#include <cmath>

namespace Galenahill {

namespace {

// Time in which the weight of a call decays by the factor e. A node in a fleet of a hundred sees
// about three calls of a route per second; two seconds suffice to detect that calls are rejected,
// and follow a service that loses or gains targets.
constexpr double DecaySeconds = 2;

// Total weight of calls below which their fraction means nothing.
constexpr double MinWeight = 3;

}

double RejectionRatio::decay(TimePoint now) const
{
    return std::exp(-std::chrono::duration<double>(now - m_lastAdded).count() / DecaySeconds);
}

void RejectionRatio::add(bool rejected, TimePoint now)
{
    const auto decayed = m_lastAdded == TimePoint() ? 0 : decay(now);
    m_calls = m_calls * decayed + 1;
    m_rejected = m_rejected * decayed + (rejected ? 1 : 0);
    m_lastAdded = now;
}

double RejectionRatio::value(TimePoint now) const
{
    return m_lastAdded == TimePoint() || m_calls * decay(now) < MinWeight ? 0 : m_rejected / m_calls;
}

}
