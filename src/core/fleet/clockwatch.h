#pragma once

#include "common/identifiers.h"

#include <cstdint>

namespace Galenahill {

// Finds steps of the time of day by comparing it with the steady clock. A VM that
// was suspended shows as a step forward. Holds no clock itself.
class ClockWatch
{
public:
    using TimeOfDay = std::chrono::system_clock::time_point;

    // Takes one reading of both clocks, and tells by how much the time of day has
    // stepped since the last one; zero for none.
    Milliseconds observe(TimeOfDay timeOfDay, TimePoint steady);

    // Steps so far.
    std::uint64_t steps() const;

private:
    TimePoint m_steady;
    TimeOfDay m_timeOfDay;
    std::uint64_t m_steps = 0;
};

}
