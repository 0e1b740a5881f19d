#include "daemon/calls/slotqueue.h"

#include <algorithm>

namespace Galenahill {

using Microseconds = std::chrono::microseconds;

// Without an order by urgency, calls share the slots by route, and none goes ahead of the others.
std::uint32_t SlotQueue::reservedSlots() const
{
    return m_policy.byUrgency && m_policy.admission ? m_reserve.slots(limit(), Clock::now()) : 0;
}

std::uint32_t SlotQueue::withheldSlots() const
{
    const auto free = limit() - std::min(running(), limit());
    const auto reserved = reservedSlots();
    if (reserved == 0) {
        return 0;
    }
    const auto forTopLevel = limit() - reserved;
    return free - std::min(free, forTopLevel - std::min(m_runningTopLevel, forTopLevel));
}

std::uint32_t SlotQueue::freeSlots() const
{
    const auto free = limit() - std::min(running(), limit()) - withheldSlots();
    return m_rateLimiter.available(free, Clock::now());
}

bool SlotQueue::hasFreeSlot(bool isNested) const
{
    return isNested ? running() < limit() && m_rateLimiter.available(1, Clock::now()) > 0 : freeSlots() > 0;
}

// Whether a free slot is the call's if there is one. A nested call does not queue behind top-level calls
// for which no slot is free.
bool SlotQueue::isNext(const SlotCall &call) const
{
    if (call.terms.hasRunningParent) {
        return m_queue.size() == 0 || (withheldSlots() > 0 && m_queue.nestedCount() == 0);
    }
    return m_queue.size() == 0 && (withheldSlots() == 0 || hasFreeSlot(false));
}

void SlotQueue::callStarted(const RouteName &route, const CallTerms &terms)
{
    m_queue.callStarted(route);
    if (terms.hasRunningParent) {
        m_reserve.nestedCallStarted(terms.priority, Clock::now());
    } else {
        m_reserve.topLevelCallStarted(terms.priority);
        ++m_runningTopLevel;
    }
}

void SlotQueue::callReleased(const SlotCall &call, AdmissionController::ReleaseReason reason)
{
    const bool isNested = call.terms.hasRunningParent;
    m_queue.callEnded(call.route);
    m_runningTopLevel -= isNested ? 0 : 1;
    if (reason == AdmissionController::ReleaseReason::Answered) {
        m_reserve.callAnswered(isNested, std::chrono::duration_cast<Microseconds>(Clock::now() - call.acquiredAt));
    }
}

// Average time between two slots that become free for top-level calls while they use all that they may.
// Nested calls free their slots more often, but for nested calls.
Microseconds SlotQueue::topLevelInterval() const
{
    const auto interval = reservedSlots() > 0 ? m_reserve.topLevelInterval(limit(), Clock::now()) : Microseconds(0);
    return interval.count() > 0 ? interval : slotInterval();
}

}
