#pragma once

#include "common/identifiers.h"

#include <cstdint>

namespace Galenahill {

// Detects steps of the wall clock by comparing it with the monotonic clock. A suspended VM shows as
// a step forward. Callers pass the readings in.
class ClockStepDetector
{
public:
    using TimeOfDay = std::chrono::system_clock::time_point;

    // Compares a reading of both clocks with the previous one. Returns by how much the wall clock
    // has stepped in between, zero if it has not.
    Milliseconds observe(TimeOfDay wallClock, TimePoint monotonic);

    // Number of steps detected so far.
    std::uint64_t steps() const;

private:
    TimePoint m_monotonic;
    TimeOfDay m_wallClock;
    std::uint64_t m_steps = 0;
};

}
