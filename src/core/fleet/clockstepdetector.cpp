#include "core/fleet/clockstepdetector.h"

namespace Galenahill {

namespace {

// Time synchronisation that slews the clock changes it by less than this between two readings.
constexpr Milliseconds MinStep{500};

}

Milliseconds ClockStepDetector::observe(TimeOfDay timeOfDay, TimePoint steady)
{
    const bool first = m_timeOfDay == TimeOfDay();
    const auto drift = std::chrono::duration_cast<Milliseconds>((timeOfDay - m_timeOfDay) - (steady - m_steady));
    m_timeOfDay = timeOfDay;
    m_steady = steady;
    if (first || std::chrono::abs(drift) < MinStep) {
        return Milliseconds(0);
    }
    ++m_steps;
    return drift;
}

std::uint64_t ClockStepDetector::steps() const
{
    return m_steps;
}

}
