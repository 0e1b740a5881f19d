#include "core/calls/admissioncontroller.h"

#include "core/config/configlimits.h"

#include <algorithm>

namespace Galenahill {

namespace {

using Microseconds = std::chrono::microseconds;

// A call slower than this many times its route's baseline, by more than the
// tolerance, says that the target runs more calls than it can.
constexpr int SlowFactor = 3;
constexpr Microseconds SlowTolerance{5000};

constexpr double SlowReduction = 0.9;
constexpr double ShedReduction = 0.7;
constexpr double StallReduction = 0.5;

// The baseline forgets a lucky fast call by one thousandth a call.
constexpr int BaselineDecay = 1000;
constexpr int TypicalWeight = 8;

// Time that the slot of a given-up call stays taken. The target is told by
// the closed connection, and frees the slot soon if it still answers others;
// one that answers nobody may need longer.
constexpr Milliseconds CancelTime{20};
constexpr Milliseconds StallHold{1000};

// Routes whose latency is kept; a configuration may have many more.
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
    m_typical = Microseconds(0);
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

bool AdmissionController::tryEnter(TimePoint now)
{
    releaseHeld(now);
    if (m_draining || m_slots == 0 || m_inFlight >= limit()) {
        return false;
    }
    ++m_inFlight;
    return true;
}

void AdmissionController::leave(const RouteName &route, TimePoint entered, End end, TimePoint now)
{
    if (end == End::GivenUp) {
        givenUp(entered, now);
        return;
    }
    if (end == End::Cancelled) {
        hold(now + CancelTime);
        return;
    }
    --m_inFlight;
    switch (end) {
    case End::Answered:
        m_lastAnswer = now;
        answered(route, std::chrono::duration_cast<Microseconds>(now - entered), now);
        break;
    case End::Shed:
        m_lastAnswer = now;
        reduce(ShedReduction, now);
        break;
    case End::Broken:
        m_limit = 1;
        m_ramping = true;
        break;
    case End::GivenUp:
    case End::Cancelled:
    case End::NotSent:
        break;
    }
}

void AdmissionController::givenUp(TimePoint entered, TimePoint now)
{
    // Counting the slot as free at once would send a frozen target a new set
    // of calls with every timeout, and overfill one that is slow to cancel. A
    // target that answered anybody since the call began isn't stalled: a
    // route with too short a timeout doesn't lower the limit for the others.
    const bool stalled = m_lastAnswer <= entered;
    hold(now + (stalled ? StallHold : CancelTime));
    if (stalled) {
        m_ramping = false;
        m_limit = std::max(1.0, m_limit * StallReduction);
    }
}

void AdmissionController::hold(TimePoint until)
{
    m_held.insert(std::upper_bound(m_held.begin(), m_held.end(), until), until);
}

void AdmissionController::answered(const RouteName &route, Microseconds latency, TimePoint now)
{
    m_typical = m_typical.count() == 0 ? latency : m_typical + (latency - m_typical) / TypicalWeight;
    if (m_baselines.size() >= MaxBaselines && m_baselines.count(route) == 0) {
        m_baselines.clear();
    }
    auto &baseline = m_baselines.try_emplace(route, latency).first->second;
    baseline = std::min(latency, baseline + baseline / BaselineDecay + Microseconds(1));
    if (latency > baseline * SlowFactor + SlowTolerance) {
        reduce(SlowReduction, now);
        return;
    }
    m_limit = std::min(std::max(1.0, static_cast<double>(m_slots)), m_limit + (m_ramping ? 1 : 1 / m_limit));
}

void AdmissionController::reduce(double factor, TimePoint now)
{
    // The calls in flight all show the same overload; it counts once.
    if (now - m_lastReduction < m_typical) {
        return;
    }
    m_lastReduction = now;
    m_ramping = false;
    m_limit = std::max(1.0, m_limit * factor);
}

void AdmissionController::releaseHeld(TimePoint now)
{
    while (!m_held.empty() && m_held.front() <= now) {
        m_held.pop_front();
        --m_inFlight;
    }
}

std::uint32_t AdmissionController::inFlight() const
{
    return m_inFlight;
}

TimePoint AdmissionController::nextRelease() const
{
    return m_held.empty() ? TimePoint::max() : m_held.front();
}

Microseconds AdmissionController::fastest() const
{
    const auto least = std::min_element(m_baselines.begin(), m_baselines.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    return least == m_baselines.end() ? Microseconds(0) : least->second;
}

Microseconds AdmissionController::typical() const
{
    return m_typical;
}

}
