#pragma once

#include "adapters/http/serverconnection.h"
#include "core/calls/admissioncontroller.h"
#include "core/calls/callpolicy.h"
#include "core/calls/callqueue.h"
#include "core/calls/latecallfilter.h"
#include "core/calls/nestedreserve.h"
#include "core/calls/responseschedule.h"
#include "core/calls/servicetimes.h"
#include "core/calls/targetratelimiter.h"
#include "core/customers/calleridentity.h"
#include "core/customers/customershares.h"
#include "daemon/calls/callmessages.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace Galenahill {

// A call that needs a slot of the target, from its arrival to its response.
struct SlotCall
{
    // Id that the caller gave the call.
    std::string id;
    RouteName route;
    TimePoint arrived;
    TimePoint deadline;
    // When the call got its slot, or was denied one.
    TimePoint acquiredAt;
    CallTerms terms;
    // Time by which the latency objective asks for the response.
    TimePoint objective = TimePoint::max();
    std::string callerService;
    std::optional<IdentifiedCustomer> customer;
    // Slot time that was charged to the customer when the call got its slot.
    std::chrono::microseconds chargedTime{0};
    // Length of the request body, if it was buffered as a whole before; else zero.
    std::uint64_t bufferedBytes = 0;
    // Whether the call is the one suspect that the target executes.
    bool runsAsSuspect = false;
    // Set while the response is scheduled on the VM's outbound link.
    ResponseTicket responseTicket;
};

// The slots and the rate limit of one target, and the queue of calls that wait for them. A call gets
// a slot only when the rate limit allows it. Used on the data thread only.
class SlotQueue : public std::enable_shared_from_this<SlotQueue>
{
public:
    SlotQueue(asio::io_context &context, const CallPolicy &policy);

    // Sets the number of calls that the target runs at a time.
    void setSlots(std::uint32_t slots);

    // Discards what is known about the target, after the target was restarted or replaced.
    void restart();

    // Forgets the target's rate limit, after the target was restarted or replaced.
    void resetRateLimit();

    // Processes the rate limit that a response of the target states, or that it states none. The
    // request was sent at `sentAt`.
    StatedRateLimit::Change updateRateLimit(std::optional<CallsPerSecond> stated, TimePoint sentAt);
    const TargetRateLimiter &rateLimiter() const;

    // Rejects the waiting calls and all further ones.
    void startDraining();
    bool draining() const;

    // Takes a slot, and waits for one if the call may wait and can still be answered in time. Returns
    // false if the call got none.
    asio::awaitable<bool> acquire(SlotCall &call, ServerConnection &connection);

    // Releases the call's slot.
    void release(const SlotCall &call, AdmissionController::ReleaseReason reason);

    // Give the free slots to waiting calls, or reject all waiting calls, which have not run and can
    // still go to other targets.
    void admitWaiting();
    void rejectWaiting();

    // Expected wait for a slot, for the given call and for a further call at the end of the queue.
    std::chrono::microseconds expectedWait(const SlotCall &call) const;
    std::chrono::microseconds expectedWait() const;

    // Whether the call, with its body complete at the given time, is expected to get a slot early
    // enough to be answered in time.
    bool canMeetObjective(const SlotCall &call, TimePoint bodyArrival) const;

    // Cost of running the call here: its expected wait plus the time by which it would miss its
    // objective.
    std::chrono::microseconds costOf(const SlotCall &call) const;

    std::uint32_t running() const;
    std::uint32_t limit() const;
    std::size_t waiting() const;

    // Number of top-level calls that could start now: there are slots that are not reserved for nested
    // calls, and the rate limit allows them.
    std::uint32_t freeSlots() const;

    // Number of slots that top-level calls leave to nested calls, and of those among them that are
    // free.
    std::uint32_t reservedSlots() const;
    std::uint32_t withheldSlots() const;

    // Whether slots are free, but the rate limit allows no call now.
    bool isRateLimited() const;

    // Slot time by which the call's customer is above its fair share of this target; zero if it is not.
    std::chrono::microseconds excessOf(const SlotCall &call) const;

    // Number of customers above their share, and of calls that were rejected for want of a slot while
    // their customer was.
    std::size_t customersAboveShare() const;
    std::uint64_t rejectedAboveShare() const;

    // Lowest baseline latency of any route's calls; zero while unknown.
    std::chrono::microseconds lowestBaseline() const;

private:
    struct Waiter;

    TimePoint waitLimit(const SlotCall &call) const;
    TimePoint latestStart(const SlotCall &call) const;
    TimePoint latestOnTimeStart(const SlotCall &call) const;
    CallUrgency urgencyOf(const SlotCall &call) const;
    std::chrono::microseconds expectedServiceTime(const SlotCall &call) const;
    bool rejectsAsLate(const SlotCall &call);
    bool hasFreeSlot(bool isNested) const;
    bool isNext(const SlotCall &call) const;
    void callStarted(const RouteName &route, const CallTerms &terms);
    void callReleased(const SlotCall &call, AdmissionController::ReleaseReason reason);
    std::chrono::microseconds slotInterval() const;
    std::chrono::microseconds topLevelInterval() const;
    asio::awaitable<bool> waitForSlot(SlotCall &call, ServerConnection &connection);
    bool tryStart(TimePoint now);
    std::chrono::microseconds drainInterval(bool isNested) const;
    std::chrono::microseconds waitAt(std::size_t position, bool isNested) const;
    std::chrono::microseconds averageServiceTime(const SlotCall &call) const;
    void charge(SlotCall &call);
    void countRejection(const SlotCall &call);
    void rejectUnschedulable();
    void armRateTimer();
    void wake(QueueTicket ticket, bool admitted);
    asio::awaitable<void> admitWhenReleased();

    asio::io_context &m_context;
    CallPolicy m_policy;
    AdmissionController m_admission;
    // Calculates its level when it is read.
    mutable CustomerShares m_shares{{}};
    std::uint64_t m_rejectedAboveShare = 0;
    CallQueue m_queue;
    ServiceTimes m_times;
    LateCallFilter m_lateCallFilter;
    NestedReserve m_reserve{{}};
    std::uint32_t m_runningTopLevel = 0;
    TargetRateLimiter m_rateLimiter;
    // Wakes the queue when the rate limit allows the next call.
    asio::steady_timer m_rateTimer;
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
    std::uint64_t m_nextTicket = 1;
};

}
