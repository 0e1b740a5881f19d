#include "core/calls/admissioncontroller.h"

#include "core/config/configlimits.h"

#include <algorithm>

namespace Galenahill {

namespace {

using Microseconds = std::chrono::microseconds;

// A latency above the route's baseline by this factor and this tolerance means that the target
// executes more calls at a time than it can.
constexpr int SlowFactor = 3;
constexpr Microseconds SlowTolerance{5000};

constexpr double SlowReduction = 0.9;
constexpr double RejectReduction = 0.7;
constexpr double StallReduction = 0.5;

// The baseline rises by a thousandth per call, so that a single fast call does not fix it for ever.
constexpr int BaselineDecay = 1000;
constexpr int AverageWeight = 8;

// How long the slot of a timed-out or cancelled call stays taken. The closed connection causes the
// target to cancel the call, which frees the slot soon if the target still responds to other
// calls; one that responds to none may need longer.
constexpr Milliseconds CancelHold{20};
constexpr Milliseconds StallHold{1000};

// Maximum number of routes whose latency is kept; a configuration may have many more.
constexpr std::size_t MaxBaselines = 256;

}

AdmissionController::AdmissionController(CallPolicy policy)
    : m_policy(policy)
{
}

void AdmissionController::setSlots(std::uint32_t slots)
{
    m_slots = std::min(slots, ConfigLimits::MaxSlots);
    m_limit = std::min(m_limit, std::max(1.0, static_cast<double>(m_slots)));
}

void AdmissionController::restart()
{
    m_limit = 1;
    m_ramping = true;
    m_baselines.clear();
    m_averageLatency = Microseconds(0);
}

void AdmissionController::startDraining()
{
    m_draining = true;
}

bool AdmissionController::draining() const
{
    return m_draining;
}

std::uint32_t AdmissionController::limit() const
{
    if (!m_policy.admission) {
        return ConfigLimits::MaxSlots;
    }
    return m_policy.adaptive ? std::min(m_slots, static_cast<std::uint32_t>(m_limit)) : m_slots;
}

std::uint32_t AdmissionController::queueCapacity() const
{
    return m_ramping ? m_slots : limit();
}

bool AdmissionController::tryAcquire(TimePoint now)
{
    releaseHeld(now);
    if (m_draining || m_slots == 0 || m_inFlight >= limit()) {
        return false;
    }
    ++m_inFlight;
    return true;
}

void AdmissionController::release(const RouteName &route, TimePoint acquiredAt, ReleaseReason reason, TimePoint now)
{
    if (reason == ReleaseReason::TimedOut) {
        recordTimeout(acquiredAt, now);
        return;
    }
    if (reason == ReleaseReason::Cancelled) {
        holdSlot(now + CancelHold);
        return;
    }
    --m_inFlight;
    switch (reason) {
    case ReleaseReason::Answered:
        m_lastResponse = now;
        recordLatency(route, std::chrono::duration_cast<Microseconds>(now - acquiredAt), now);
        break;
    case ReleaseReason::Overloaded:
        m_lastResponse = now;
        reduceLimit(RejectReduction, now);
        break;
    case ReleaseReason::ConnectionLost:
        m_limit = 1;
        m_ramping = true;
        break;
    case ReleaseReason::TimedOut:
    case ReleaseReason::Cancelled:
    case ReleaseReason::NotSent:
        break;
    }
}

void AdmissionController::recordTimeout(TimePoint acquiredAt, TimePoint now)
{
    // Freeing the slot at once would send a paused target a full set of new calls with every timeout,
    // and overload one that is slow to cancel. A target that responded to any call since this one
    // began is not stalled: a route with too short a timeout does not lower the limit for the others.
    const bool stalled = m_lastResponse <= acquiredAt;
    holdSlot(now + (stalled ? StallHold : CancelHold));
    if (stalled) {
        m_ramping = false;
        m_limit = std::max(1.0, m_limit * StallReduction);
    }
}

void AdmissionController::holdSlot(TimePoint until)
{
    m_heldUntil.insert(std::upper_bound(m_heldUntil.begin(), m_heldUntil.end(), until), until);
}

void AdmissionController::recordLatency(const RouteName &route, Microseconds latency, TimePoint now)
{
    m_averageLatency = m_averageLatency.count() == 0 ? latency : m_averageLatency + (latency - m_averageLatency) / AverageWeight;
    if (m_baselines.size() >= MaxBaselines && m_baselines.count(route) == 0) {
        m_baselines.clear();
    }
    auto &baseline = m_baselines.try_emplace(route, latency).first->second;
    baseline = std::min(latency, baseline + baseline / BaselineDecay + Microseconds(1));
    if (latency > baseline * SlowFactor + SlowTolerance) {
        reduceLimit(SlowReduction, now);
        return;
    }
    m_limit = std::min(std::max(1.0, static_cast<double>(m_slots)), m_limit + (m_ramping ? 1 : 1 / m_limit));
}

void AdmissionController::reduceLimit(double factor, TimePoint now)
{
    // All calls in flight show the same overload; it counts once.
    if (now - m_lastReduced < m_averageLatency) {
        return;
    }
    m_lastReduced = now;
    m_ramping = false;
    m_limit = std::max(1.0, m_limit * factor);
}

void AdmissionController::releaseHeld(TimePoint now)
{
    while (!m_heldUntil.empty() && m_heldUntil.front() <= now) {
        m_heldUntil.pop_front();
        --m_inFlight;
    }
}

std::uint32_t AdmissionController::inFlight() const
{
    return m_inFlight;
}

TimePoint AdmissionController::nextRelease() const
{
    return m_heldUntil.empty() ? TimePoint::max() : m_heldUntil.front();
}

Microseconds AdmissionController::lowestBaseline() const
{
    const auto lowest = std::min_element(m_baselines.begin(), m_baselines.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    return lowest == m_baselines.end() ? Microseconds(0) : lowest->second;
}

Microseconds AdmissionController::averageLatency() const
{
    return m_averageLatency;
}

}
