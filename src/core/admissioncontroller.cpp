#include "core/admissioncontroller.h"

namespace Galenahill {

void AdmissionController::setSlots(std::uint32_t slots)
{
    m_slots = slots;
}

void AdmissionController::startDraining()
{
    m_draining = true;
}

bool AdmissionController::draining() const
{
    return m_draining;
}

bool AdmissionController::tryEnter()
{
    if (m_draining || m_inFlight >= m_slots) {
        return false;
    }
    ++m_inFlight;
    return true;
}

void AdmissionController::leave()
{
    --m_inFlight;
}

std::uint32_t AdmissionController::inFlight() const
{
    return m_inFlight;
}

}
