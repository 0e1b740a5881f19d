#pragma once

#include "common/identifiers.h"
#include "core/calls/callpolicy.h"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace Galenahill {

// Limits the concurrent calls that a sidecar sends to its target: at most the target's slots,
// fewer while its latency shows that it cannot execute so many at a time.
class AdmissionController
{
public:
    // Why a call releases its slot.
    enum class ReleaseReason {
        // The target sent a complete response.
        Answered,
        // The target rejected the call because it is overloaded.
        Overloaded,
        // The deadline passed without a response; the target may still execute the call.
        TimedOut,
        // The caller closed its connection. Says nothing about the target's load, but the target may
        // need a moment to stop executing the call.
        Cancelled,
        // The connection broke before a response, for instance because the target restarted.
        ConnectionLost,
        // The call did not reach the target.
        NotSent,
    };

    explicit AdmissionController(CallPolicy policy = {});

    // Sets the target's number of slots. Calls in flight beyond a lowered number finish.
    void setSlots(std::uint32_t slots);

    // Starts again with one call at a time, after a start of the target or of this process. A
    // restarted sidecar does not know which calls its target still executes: with all slots open at
    // once, the target would get up to twice as many calls as it has slots.
    void restart();

    // Rejects every further call from now on.
    void startDraining();
    bool draining() const;

    // Takes a slot; false if none is free or the target is draining.
    bool tryAcquire(TimePoint now);
    void release(const RouteName &route, TimePoint acquiredAt, ReleaseReason reason, TimePoint now);

    // Frees the slots of timed-out and cancelled calls whose hold time is over.
    void releaseHeld(TimePoint now);

    // Calls in flight, including timed-out and cancelled ones whose slots are still held.
    std::uint32_t inFlight() const;
    std::uint32_t limit() const;

    // Number of calls that may be queued: as many as may run at a time. While the limit ramps up, it
    // is the number of slots, since the limit grows with each response and queued calls get their
    // slots about as fast.
    std::uint32_t queueCapacity() const;

    // When the next held slot is freed, or the end of time if none is held.
    TimePoint nextRelease() const;

    // The lowest baseline latency of all routes; zero while none is known.
    std::chrono::microseconds lowestBaseline() const;
    // The moving average of the latency of all calls.
    std::chrono::microseconds averageLatency() const;

private:
    void recordLatency(const RouteName &route, std::chrono::microseconds latency, TimePoint now);
    void recordTimeout(TimePoint acquiredAt, TimePoint now);
    void holdSlot(TimePoint until);
    void reduceLimit(double factor, TimePoint now);
    CallPolicy m_policy;
    std::uint32_t m_slots = 0;
    std::uint32_t m_inFlight = 0;
    double m_limit = 1;
    bool m_ramping = true;
    bool m_draining = false;
    TimePoint m_lastResponse;
    TimePoint m_lastReduced;
    // When the slots of timed-out and cancelled calls are freed, in ascending order.
    std::deque<TimePoint> m_heldUntil;
    // Lowest recent latency by route.
    std::unordered_map<RouteName, std::chrono::microseconds> m_baselines;
    std::chrono::microseconds m_averageLatency{0};
};

}
