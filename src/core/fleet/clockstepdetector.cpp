#include "core/fleet/clockstepdetector.h"

namespace Galenahill {

namespace {

// Time synchronisation that slews the clock changes it by less than this between two readings.
constexpr Milliseconds MinStep{500};

}

Milliseconds ClockStepDetector::observe(TimeOfDay wallClock, TimePoint monotonic)
{
    const bool first = m_wallClock == TimeOfDay();
    const auto drift = std::chrono::duration_cast<Milliseconds>((wallClock - m_wallClock) - (monotonic - m_monotonic));
    m_wallClock = wallClock;
    m_monotonic = monotonic;
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
