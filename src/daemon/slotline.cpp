#include "daemon/slotline.h"

#include <algorithm>

namespace Galenahill {

namespace {

using Microseconds = std::chrono::microseconds;

// A call waits for a slot at most for this many usual calls, but never less
// than the shortest wait and never more than the longest.
constexpr int WaitFactor = 2;
constexpr Microseconds ShortestWait{5000};
constexpr Microseconds LongestWait{200000};

// Time supposed for a call before the first answer tells.
constexpr Microseconds UnknownCallTime{25000};

// Bounds the queue where urgency orders it; the calls' deadlines bound the wait.
constexpr std::size_t MaxWaiting = 64;

// Margin over the usual time of a route within which most of its calls end.
constexpr double TimeMargin = 1.3;

// Share of its objective that a call needs at a target that hasn't answered any of its
// route. Guards against admitting all calls, most of them late, after a full restart.
constexpr double SupposedShare = 1.0 / 3;

// Share of the time until its latest start that a large body may need to come. The
// rest is for what the schedule of the link can't know: a sender whose own link
// is busy, lost packets, other traffic.
constexpr double MaxBodyShare = 0.7;

}

// A call that waits for a slot.
struct SlotLine::Waiter
{
    explicit Waiter(asio::io_context &context)
        : timer(context)
    {
    }

    asio::steady_timer timer;
    RouteName route;
    bool admitted = false;
};

SlotLine::SlotLine(asio::io_context &context, const CallPolicy &policy)
    : m_context(context)
    , m_policy(policy)
    , m_admission(policy)
    , m_queue({.newestFirst = policy.newestFirst, .fairShares = policy.fairShares, .byUrgency = policy.byUrgency})
    , m_lateOffers({})
{
}

void SlotLine::setSlots(std::uint32_t slots)
{
    m_admission.setSlots(slots);
}

void SlotLine::restart()
{
    m_admission.restart();
    m_times.clear();
}

void SlotLine::startDraining()
{
    m_admission.startDraining();
    refuseWaiting();
}

bool SlotLine::draining() const
{
    return m_admission.draining();
}

std::uint32_t SlotLine::running() const
{
    return m_admission.inFlight();
}

std::uint32_t SlotLine::limit() const
{
    return m_admission.limit();
}

std::size_t SlotLine::waiting() const
{
    return m_queue.size();
}

std::chrono::microseconds SlotLine::fastest() const
{
    return m_admission.fastest();
}

// Until when a call that arrived now may wait: a call that gets its slot later
// would rather have been refused at once and gone elsewhere.
TimePoint SlotLine::waitLimit(const SlotCall &call) const
{
    if (m_policy.byUrgency) {
        return latestStart(call);
    }
    const auto usual = m_admission.typical().count() == 0 ? UnknownCallTime : m_admission.typical();
    const auto longest = std::clamp(WaitFactor * usual, ShortestWait, LongestWait);
    return std::min(call.entered + longest, call.deadline - m_admission.fastest());
}

// Time at the target within which most calls of the route are answered.
std::chrono::microseconds SlotLine::neededTime(const SlotCall &call) const
{
    const auto known = m_times.usual(call.route);
    const auto needed = known.count() == 0 ? UnknownCallTime : known;
    return std::chrono::duration_cast<Microseconds>(needed * TimeMargin);
}

// The latest time to get a slot and be answered within the objective, or by
// the deadline for a call without one. A call that waits longer takes its slot
// from one that could still be in time.
TimePoint SlotLine::latestStart(const SlotCall &call) const
{
    const auto latest = latestInTime(call);
    return call.terms.waitLeft ? std::min<TimePoint>(latest, call.arrived + *call.terms.waitLeft) : latest;
}

TimePoint SlotLine::latestInTime(const SlotCall &call) const
{
    // A running call needs the answer, late or not, or all its work is lost.
    const auto wanted = call.terms.forRunningCall ? call.deadline : std::min(call.objective, call.deadline);
    return wanted - neededTime(call);
}

bool SlotLine::canStartAt(const SlotCall &call, TimePoint bodyHere) const
{
    const auto now = Clock::now();
    const auto slotFree = running() < limit() ? now : now + expectedWait(call);
    const auto span = std::chrono::duration<double>(latestInTime(call) - now) * MaxBodyShare;
    return std::max<TimePoint>(bodyHere, slotFree) <= now + std::chrono::duration_cast<Clock::duration>(span);
}

CallUrgency SlotLine::urgencyOf(const SlotCall &call) const
{
    return {!call.terms.forRunningCall, call.terms.priority, latestStart(call)};
}

// With all slots taken, one comes free after a usual call's time divided by
// the slots, on average.
std::chrono::microseconds SlotLine::slotInterval() const
{
    const auto known = m_times.usual();
    const auto usual = known.count() == 0 ? UnknownCallTime : known;
    return usual / std::max<std::uint32_t>(m_admission.limit(), 1);
}

// Each call ahead takes one of the slots that come free.
std::chrono::microseconds SlotLine::expectedWait(const SlotCall &call) const
{
    if (!m_policy.byUrgency) {
        return m_admission.typical() * (m_queue.size() + 1) / std::max<std::uint32_t>(m_admission.limit(), 1);
    }
    return slotInterval() * (m_queue.ahead(urgencyOf(call)) + 1);
}

// What makes the call late here is as good as a wait: it says how much better
// another target would be.
std::chrono::microseconds SlotLine::costOf(const SlotCall &call) const
{
    const auto wait = running() < limit() ? Microseconds(0) : expectedWait(call);
    const auto end = Clock::now() + neededTime(call);
    const bool late = m_policy.byUrgency && call.objective < end;
    return wait + (late ? std::chrono::duration_cast<Microseconds>(end - call.objective) : Microseconds(0));
}

std::chrono::microseconds SlotLine::expectedWait() const
{
    if (m_admission.inFlight() < m_admission.limit()) {
        return Microseconds(0);
    }
    return slotInterval() * (m_queue.size() + 1);
}

void SlotLine::refuseHopeless()
{
    while (const auto ticket = m_queue.takeHopeless(Clock::now(), slotInterval())) {
        wake(*ticket, false);
    }
}

// A call that may wait here has been offered elsewhere; one that may not still
// has other targets to go to.
bool SlotLine::goesElsewhere(const SlotCall &call)
{
    const bool mayChoose = m_policy.byUrgency && !call.terms.mayWait && running() < limit();
    return mayChoose && m_lateOffers.turnsAway(call.entered, call.entered + neededTime(call), call.objective);
}

asio::awaitable<bool> SlotLine::enter(SlotCall &call, ServerConnection &connection)
{
    call.entered = Clock::now();
    if (m_policy.byUrgency && call.objective != TimePoint::max() && call.objective > call.entered) {
        m_times.suppose(call.route, std::chrono::duration_cast<Microseconds>((call.objective - call.entered) * SupposedShare));
    }
    if (goesElsewhere(call)) {
        co_return false;
    }
    if (m_queue.size() == 0 && m_admission.tryEnter(call.entered)) {
        m_queue.started(call.route);
        co_return true;
    }
    const bool mayWait = m_policy.queue && call.terms.mayWait;
    if (!mayWait || call.entered + expectedWait(call) >= waitLimit(call)) {
        co_return false;
    }
    co_return co_await waitForSlot(call, connection);
}

asio::awaitable<bool> SlotLine::waitForSlot(SlotCall &call, ServerConnection &connection)
{
    const auto waiter = std::make_shared<Waiter>(m_context);
    const QueueTicket ticket(m_nextTicket++);
    waiter->route = call.route;
    waiter->timer.expires_at(waitLimit(call));
    const auto refused = m_queue.push(ticket, call.route, m_policy.byUrgency ? MaxWaiting : m_admission.queueCapacity(), urgencyOf(call));
    if (refused == ticket) {
        co_return false;
    }
    m_waiters.emplace(ticket.value(), waiter);
    if (refused) {
        wake(*refused, false);
    }
    refuseHopeless();
    // A call that the caller gives up leaves the line at once.
    connection.cancellation().setHook([weak = weak_from_this(), ticket] {
        if (const auto self = weak.lock()) {
            self->wake(ticket, false);
        }
    });
    ErrorCode ignored;
    co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    connection.cancellation().setHook(nullptr);
    m_queue.remove(ticket);
    m_waiters.erase(ticket.value());
    call.entered = Clock::now();
    co_return waiter->admitted;
}

void SlotLine::wake(QueueTicket ticket, bool admitted)
{
    const auto found = m_waiters.find(ticket.value());
    // A call that has got its slot keeps it, though its caller goes at the same
    // moment; it gives the slot back itself.
    if (found != m_waiters.end() && !found->second->admitted) {
        found->second->admitted = admitted;
        found->second->timer.cancel();
    }
}

void SlotLine::admitWaiting()
{
    m_admission.releaseHeld(Clock::now());
    while (m_queue.size() > 0 && m_admission.tryEnter(Clock::now())) {
        const auto ticket = *m_queue.pop(Clock::now());
        m_queue.started(m_waiters.at(ticket.value())->route);
        wake(ticket, true);
    }
}

asio::awaitable<void> SlotLine::admitWhenReleased()
{
    const auto keep = shared_from_this();
    asio::steady_timer timer(m_context, m_admission.nextRelease());
    ErrorCode ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    admitWaiting();
}

void SlotLine::leave(const SlotCall &call, AdmissionController::End end)
{
    m_queue.ended(call.route);
    if (end == AdmissionController::End::Answered) {
        m_times.observed(call.route, std::chrono::duration_cast<Microseconds>(Clock::now() - call.entered));
    }
    m_admission.leave(call.route, call.entered, end, Clock::now());
    if (end == AdmissionController::End::GivenUp || end == AdmissionController::End::Cancelled) {
        asio::co_spawn(m_context, admitWhenReleased(), asio::detached);
    }
    admitWaiting();
}

void SlotLine::refuseWaiting()
{
    while (const auto ticket = m_queue.pop()) {
        wake(*ticket, false);
    }
}

}
