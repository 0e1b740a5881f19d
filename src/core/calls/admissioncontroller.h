#pragma once

#include "common/identifiers.h"
#include "core/calls/callpolicy.h"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace Galenahill {

// Bounds the calls that a sidecar lets its target run at a time: at most the
// target's slots, fewer while its latency says that it can't run so many.
class AdmissionController
{
public:
    // How a call left the target.
    enum class End {
        // A whole answer came.
        Answered,
        // The target answered that it has no room.
        Shed,
        // The call was given up before an answer; the target may still run it.
        GivenUp,
        // The caller closed its connection; says nothing about the target,
        // which may need a moment to stop running the call.
        Cancelled,
        // The connection broke before an answer, as when the target restarts.
        Broken,
        // The call didn't reach the target.
        NotSent,
    };

    explicit AdmissionController(CallPolicy policy = {});

    // Slots of the target; calls in flight beyond a lowered number finish.
    void setSlots(std::uint32_t slots);

    // The target, or this process, has just started: begins with one call at
    // a time. A restarted sidecar doesn't know what its target still runs;
    // with all slots at once it would put up to twice the slots on it.
    void restart();

    // Refuses every further call from now on.
    void startDraining();
    bool draining() const;

    // Takes a slot; false if none is free or the target is leaving.
    bool tryEnter(TimePoint now);
    void leave(const RouteName &route, TimePoint entered, End end, TimePoint now);

    // Frees the slots of given-up calls whose time has come.
    void releaseHeld(TimePoint now);

    // Calls in flight, with given-up ones whose slots are still held.
    std::uint32_t inFlight() const;
    std::uint32_t limit() const;

    // Calls that may wait: one for each that may run. While the limit ramps
    // up, as many as there are slots: it grows with each answer, so they get
    // their slots about as fast.
    std::uint32_t queueCapacity() const;

    // When the next held slot comes free, or the end of time if none is held.
    TimePoint nextRelease() const;

    // The usual time of the fastest route's calls; zero while none is known.
    std::chrono::microseconds fastest() const;
    // The time that calls take of late, over all routes.
    std::chrono::microseconds typical() const;

private:
    void answered(const RouteName &route, std::chrono::microseconds latency, TimePoint now);
    void givenUp(TimePoint entered, TimePoint now);
    void hold(TimePoint until);
    void reduce(double factor, TimePoint now);
    CallPolicy m_policy;
    std::uint32_t m_slots = 0;
    std::uint32_t m_inFlight = 0;
    double m_limit = 1;
    bool m_ramping = true;
    bool m_draining = false;
    TimePoint m_lastAnswer;
    TimePoint m_lastReduction;
    // When the slots of given-up calls come free, in order.
    std::deque<TimePoint> m_held;
    // Lowest recent latency by route.
    std::unordered_map<RouteName, std::chrono::microseconds> m_baselines;
    std::chrono::microseconds m_typical{0};
};

}
