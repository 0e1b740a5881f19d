#pragma once

#include "adapters/http/serverconnection.h"
#include "core/calls/admissioncontroller.h"
#include "core/calls/callpolicy.h"
#include "core/calls/callqueue.h"
#include "core/calls/lateoffers.h"
#include "core/calls/servicetimes.h"
#include "daemon/callmessages.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace Galenahill {

// One call that needs a slot of the target, from its arrival to its answer.
struct SlotCall
{
    // As its caller named it.
    std::string id;
    RouteName route;
    TimePoint arrived;
    TimePoint deadline;
    // When it got its slot, or was refused one.
    TimePoint entered;
    CallTerms terms;
    // When the call should be answered.
    TimePoint objective = TimePoint::max();
    std::string callerService;
    // Length of its body, if that was taken whole before.
    std::uint64_t heldBytes = 0;
};

// The slots of one target and the line of calls before them. Used on the data
// thread only.
class SlotLine : public std::enable_shared_from_this<SlotLine>
{
public:
    SlotLine(asio::io_context &context, const CallPolicy &policy);

    // Calls that the target runs at a time.
    void setSlots(std::uint32_t slots);

    // Another target, or another start of it, stands behind the line.
    void restart();

    // Refuses every further call from now on, and those that wait.
    void startDraining();
    bool draining() const;

    // Takes a slot, after waiting for one if the call may and can still be
    // answered in time; false if it got none.
    asio::awaitable<bool> enter(SlotCall &call, ServerConnection &connection);

    // Gives the slot back.
    void leave(const SlotCall &call, AdmissionController::End end);

    // Lets waiting calls in as far as there are slots, or refuses them all:
    // they haven't run, and other targets can still take them.
    void admitWaiting();
    void refuseWaiting();

    // How long the call would wait, and a further one of no special urgency.
    std::chrono::microseconds expectedWait(const SlotCall &call) const;
    std::chrono::microseconds expectedWait() const;

    // Whether the call, if its body is here by then, is expected to get a slot early
    // enough to be in time.
    bool canStartAt(const SlotCall &call, TimePoint bodyHere) const;

    // What the call would lose here: its wait, and what it would be late by.
    std::chrono::microseconds costOf(const SlotCall &call) const;

    std::uint32_t running() const;
    std::uint32_t limit() const;
    std::size_t waiting() const;

    // The least time that calls take; zero while unknown.
    std::chrono::microseconds fastest() const;

private:
    struct Waiter;

    TimePoint waitLimit(const SlotCall &call) const;
    TimePoint latestStart(const SlotCall &call) const;
    TimePoint latestInTime(const SlotCall &call) const;
    CallUrgency urgencyOf(const SlotCall &call) const;
    std::chrono::microseconds neededTime(const SlotCall &call) const;
    bool goesElsewhere(const SlotCall &call);
    std::chrono::microseconds slotInterval() const;
    asio::awaitable<bool> waitForSlot(SlotCall &call, ServerConnection &connection);
    void refuseHopeless();
    void wake(QueueTicket ticket, bool admitted);
    asio::awaitable<void> admitWhenReleased();

    asio::io_context &m_context;
    CallPolicy m_policy;
    AdmissionController m_admission;
    CallQueue m_queue;
    ServiceTimes m_times;
    LateOffers m_lateOffers;
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
    std::uint64_t m_nextTicket = 1;
};

}
