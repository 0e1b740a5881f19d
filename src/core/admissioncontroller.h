#pragma once

#include <cstdint>

namespace Galenahill {

// Bounds the calls that a sidecar lets its target run at a time.
class AdmissionController
{
public:
    // Slots of the target; calls in flight beyond a lowered number finish.
    void setSlots(std::uint32_t slots);

    // Refuses every further call from now on.
    void startDraining();
    bool draining() const;

    // Takes a slot; false if none is free or the target is leaving.
    bool tryEnter();
    void leave();

    std::uint32_t inFlight() const;

private:
    std::uint32_t m_slots = 0;
    std::uint32_t m_inFlight = 0;
    bool m_draining = false;
};

}
