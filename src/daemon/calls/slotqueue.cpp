#include "daemon/calls/slotqueue.h"

#include <algorithm>

namespace Galenahill {

namespace {

using Microseconds = std::chrono::microseconds;

// Limit of a call's wait for a slot, as a multiple of the average latency within fixed bounds.
constexpr int WaitFactor = 2;
constexpr Microseconds MinWait{5000};
constexpr Microseconds MaxWait{200000};

// Latency assumed for a call before the first response.
constexpr Microseconds UnknownLatency{25000};

// Bounds the queue that is ordered by urgency; the calls' deadlines bound the wait in it.
constexpr std::size_t MaxWaiting = 64;

// Factor over the average latency of a route within which most of its calls end.
constexpr double LatencyMargin = 1.3;

// Latency assumed for a route that the target has not answered yet, as a share of its objective.
// Guards against admitting all calls, most of them late, after a restart of all nodes.
constexpr double AssumedLatencyShare = 1.0 / 3;

// Bounds the wait for a rate limit that is reported to other nodes. It keeps calls away as well as a
// longer one, which would dominate the mean wait of the targets of a data centre.
constexpr Microseconds MaxReportedRateWait{250000};

// Share of the time until the latest start of its call that a large body may take to arrive. The
// rest allows for what the link schedule cannot know: a sender whose own link is busy, packet loss,
// other traffic.
constexpr double MaxBodyTimeShare = 0.7;

// Customer whose share the call counts against; empty for calls without one.
CustomerName customerOf(const SlotCall &call)
{
    return call.customer ? call.customer->name : CustomerName();
}

}

// A call that waits for a slot.
struct SlotQueue::Waiter
{
    explicit Waiter(asio::io_context &context)
        : timer(context)
    {
    }

    asio::steady_timer timer;
    RouteName route;
    CallTerms terms;
    bool admitted = false;
};

SlotQueue::SlotQueue(asio::io_context &context, const CallPolicy &policy)
    : m_context(context)
    , m_policy(policy)
    , m_admission(policy)
    , m_queue({.newestFirst = policy.newestFirst,
          .fairShares = policy.fairShares,
          .byUrgency = policy.byUrgency,
          .excess = [this](const CustomerName &customer) { return m_policy.customerShares ? m_shares.excess(customer, Clock::now()) : Microseconds(0); }})
    , m_lateCallFilter({})
    , m_rateTimer(context)
{
}

void SlotQueue::setSlots(std::uint32_t slots)
{
    m_admission.setSlots(slots);
}

void SlotQueue::restart()
{
    m_admission.restart();
    m_times.clear();
    m_reserve.clear();
    m_shares = CustomerShares({});
}

void SlotQueue::resetRateLimit()
{
    m_rateLimiter.reset(Clock::now());
}

// Calls that were queued before the limit was known may have no chance to start in time under it.
StatedRateLimit::Change SlotQueue::updateRateLimit(std::optional<CallsPerSecond> stated, TimePoint sentAt)
{
    const auto change = m_rateLimiter.update(stated, sentAt, Clock::now());
    if (change != StatedRateLimit::Change::None) {
        rejectUnschedulable();
        admitWaiting();
    }
    return change;
}

const TargetRateLimiter &SlotQueue::rateLimiter() const
{
    return m_rateLimiter;
}

void SlotQueue::startDraining()
{
    m_admission.startDraining();
    rejectWaiting();
}

bool SlotQueue::draining() const
{
    return m_admission.draining();
}

std::uint32_t SlotQueue::running() const
{
    return m_admission.inFlight();
}

std::uint32_t SlotQueue::limit() const
{
    return m_admission.limit();
}

std::size_t SlotQueue::waiting() const
{
    return m_queue.size();
}

bool SlotQueue::isRateLimited() const
{
    return running() < limit() && m_rateLimiter.available(1, Clock::now()) == 0;
}

std::chrono::microseconds SlotQueue::lowestBaseline() const
{
    return m_admission.lowestBaseline();
}

// Time until which the call may wait. A call that would get its slot later is better rejected at
// once, so that it can go to another target.
TimePoint SlotQueue::waitLimit(const SlotCall &call) const
{
    if (m_policy.byUrgency) {
        return latestStart(call);
    }
    const auto average = m_admission.averageLatency().count() == 0 ? UnknownLatency : m_admission.averageLatency();
    const auto maxWait = std::clamp(WaitFactor * average, MinWait, MaxWait);
    return std::min(call.acquiredAt + maxWait, call.deadline - m_admission.lowestBaseline());
}

// Time within which the target answers most calls of the route.
std::chrono::microseconds SlotQueue::expectedServiceTime(const SlotCall &call) const
{
    return std::chrono::duration_cast<Microseconds>(averageServiceTime(call) * LatencyMargin);
}

// Latest time to get a slot and still be answered within the objective, or by the deadline for a
// call without one. A call that waits longer takes its slot from one that could still be in time.
TimePoint SlotQueue::latestStart(const SlotCall &call) const
{
    const auto latest = latestOnTimeStart(call);
    return call.terms.waitLeft ? std::min<TimePoint>(latest, call.arrived + *call.terms.waitLeft) : latest;
}

TimePoint SlotQueue::latestOnTimeStart(const SlotCall &call) const
{
    // Without the response to a nested call, even a late one, the work of its parent call is lost.
    // The wait of a returning call before its first attempt here does not shorten the wait for a slot:
    // it must not be rejected where a new call would get one.
    const auto responseBy = call.terms.hasRunningParent ? call.deadline : std::min<TimePoint>(call.objective + call.terms.waitedBefore, call.deadline);
    return responseBy - expectedServiceTime(call);
}

bool SlotQueue::canMeetObjective(const SlotCall &call, TimePoint bodyArrival) const
{
    const auto now = Clock::now();
    const auto slotFree = hasFreeSlot(call.terms.hasRunningParent) ? now : now + expectedWait(call);
    const auto span = std::chrono::duration<double>(latestOnTimeStart(call) - now) * MaxBodyTimeShare;
    return std::max<TimePoint>(bodyArrival, slotFree) <= now + std::chrono::duration_cast<Clock::duration>(span);
}

CallUrgency SlotQueue::urgencyOf(const SlotCall &call) const
{
    const bool isTopLevel = !call.terms.hasRunningParent;
    return {.isTopLevel = isTopLevel,
        .priority = call.terms.priority,
        .aboveShare = isTopLevel && excessOf(call).count() > 0,
        .startBy = latestStart(call),
        .waitedBefore = call.terms.waitedBefore};
}

std::chrono::microseconds SlotQueue::excessOf(const SlotCall &call) const
{
    return m_policy.customerShares ? m_shares.excess(customerOf(call), Clock::now()) : Microseconds(0);
}

std::size_t SlotQueue::customersAboveShare() const
{
    return m_policy.customerShares ? m_shares.countAboveShare(Clock::now()) : 0;
}

std::uint64_t SlotQueue::rejectedAboveShare() const
{
    return m_rejectedAboveShare;
}

std::chrono::microseconds SlotQueue::averageServiceTime(const SlotCall &call) const
{
    const auto known = m_times.average(call.route);
    return known.count() == 0 ? UnknownLatency : known;
}

void SlotQueue::charge(SlotCall &call)
{
    call.chargedTime = averageServiceTime(call);
    m_shares.callStarted(customerOf(call), call.chargedTime, Clock::now());
}

void SlotQueue::countRejection(const SlotCall &call)
{
    m_rejectedAboveShare += excessOf(call).count() > 0 ? 1 : 0;
    m_shares.callRejected(customerOf(call), averageServiceTime(call), Clock::now());
}

// Average time between two slots that become free while all slots are in use.
std::chrono::microseconds SlotQueue::slotInterval() const
{
    const auto known = m_times.average();
    const auto average = known.count() == 0 ? UnknownLatency : known;
    return average / std::max<std::uint32_t>(m_admission.limit(), 1);
}

// Average time between two calls that leave the queue.
std::chrono::microseconds SlotQueue::drainInterval(bool isNested) const
{
    const auto queued = static_cast<std::uint32_t>(m_queue.size());
    const bool rateAllowsAll = m_rateLimiter.available(queued, Clock::now()) == queued;
    const auto interval = isNested ? slotInterval() : topLevelInterval();
    return rateAllowsAll ? interval : std::max(interval, m_rateLimiter.interval());
}

// Wait of the call at that position of the queue: each of them takes one of the slots that become
// free, and one of the calls that the rate limit allows.
std::chrono::microseconds SlotQueue::waitAt(std::size_t position, bool isNested) const
{
    const auto rateWait = m_rateLimiter.timeUntil(position, Clock::now());
    if (isRateLimited()) {
        return rateWait;
    }
    const auto slots = std::max<std::uint32_t>(m_admission.limit(), 1);
    const Microseconds slotWait
        = m_policy.byUrgency ? (isNested ? slotInterval() : topLevelInterval()) * position : m_admission.averageLatency() * position / slots;
    return std::max(slotWait, rateWait);
}

std::chrono::microseconds SlotQueue::expectedWait(const SlotCall &call) const
{
    return waitAt(m_queue.countAhead(urgencyOf(call)) + 1, call.terms.hasRunningParent);
}

// Lateness counts like a wait, so that targets that would answer too late compare badly.
std::chrono::microseconds SlotQueue::costOf(const SlotCall &call) const
{
    const auto wait = hasFreeSlot(call.terms.hasRunningParent) ? Microseconds(0) : expectedWait(call);
    const auto end = Clock::now() + expectedServiceTime(call);
    const bool late = m_policy.byUrgency && call.objective < end;
    return wait + (late ? std::chrono::duration_cast<Microseconds>(end - call.objective) : Microseconds(0));
}

std::chrono::microseconds SlotQueue::expectedWait() const
{
    if (freeSlots() > 0) {
        return Microseconds(0);
    }
    const auto wait = waitAt(m_queue.size() + 1, false);
    return isRateLimited() ? std::min(wait, MaxReportedRateWait) : wait;
}

void SlotQueue::rejectUnschedulable()
{
    while (const auto ticket = m_queue.popUnschedulable(Clock::now(), drainInterval(false), drainInterval(true))) {
        wake(*ticket, false);
    }
}

// Only calls that may not wait are rejected for lateness: they still have other targets to go to,
// while a call that may wait has been offered to those before.
bool SlotQueue::rejectsAsLate(const SlotCall &call)
{
    const bool hasAlternatives = m_policy.byUrgency && !call.terms.mayWait && hasFreeSlot(call.terms.hasRunningParent);
    return hasAlternatives && m_lateCallFilter.shouldReject(call.acquiredAt, call.acquiredAt + expectedServiceTime(call), call.objective);
}

// Takes a slot, and the permission of the rate limit; neither without the other.
bool SlotQueue::tryStart(TimePoint now)
{
    if (m_rateLimiter.available(1, now) == 0 || !m_admission.tryAcquire(now)) {
        return false;
    }
    return m_rateLimiter.tryAcquire(now);
}

asio::awaitable<bool> SlotQueue::acquire(SlotCall &call, ServerConnection &connection)
{
    call.acquiredAt = Clock::now();
    if (m_policy.byUrgency && call.objective != TimePoint::max() && call.objective > call.acquiredAt) {
        m_times.assume(call.route, std::chrono::duration_cast<Microseconds>((call.objective - call.acquiredAt) * AssumedLatencyShare));
    }
    if (rejectsAsLate(call)) {
        co_return false;
    }
    if (isNext(call) && tryStart(call.acquiredAt)) {
        callStarted(call.route, call.terms);
        charge(call);
        co_return true;
    }
    const bool mayWait = m_policy.queue && call.terms.mayWait;
    bool admitted = false;
    if (mayWait && call.acquiredAt + expectedWait(call) < waitLimit(call)) {
        admitted = co_await waitForSlot(call, connection);
    }
    if (admitted) {
        charge(call);
    } else if (mayWait && !draining() && !isRateLimited() && !connection.cancellation().cancelled()) {
        countRejection(call);
    }
    co_return admitted;
}

asio::awaitable<bool> SlotQueue::waitForSlot(SlotCall &call, ServerConnection &connection)
{
    const auto waiter = std::make_shared<Waiter>(m_context);
    const QueueTicket ticket(m_nextTicket++);
    waiter->route = call.route;
    waiter->terms = call.terms;
    waiter->timer.expires_at(waitLimit(call));
    const auto rejected = m_queue.push(ticket, call.route, m_policy.byUrgency ? MaxWaiting : m_admission.queueCapacity(), urgencyOf(call), customerOf(call));
    if (rejected == ticket) {
        co_return false;
    }
    m_waiters.emplace(ticket.value(), waiter);
    if (rejected) {
        wake(*rejected, false);
    }
    rejectUnschedulable();
    armRateTimer();
    // A call whose caller cancels it leaves the queue at once.
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
    call.acquiredAt = Clock::now();
    co_return waiter->admitted;
}

void SlotQueue::wake(QueueTicket ticket, bool admitted)
{
    const auto found = m_waiters.find(ticket.value());
    // A call that has been given a slot keeps it even if its caller disconnects at the same moment;
    // the call releases the slot itself.
    if (found != m_waiters.end() && !found->second->admitted) {
        found->second->admitted = admitted;
        found->second->timer.cancel();
    }
}

void SlotQueue::admitWaiting()
{
    m_admission.releaseHeld(Clock::now());
    while (m_queue.size() > 0) {
        const bool nestedOnly = withheldSlots() > 0 && !hasFreeSlot(false);
        if ((nestedOnly && m_queue.nestedCount() == 0) || !tryStart(Clock::now())) {
            break;
        }
        const auto ticket = nestedOnly ? *m_queue.popNested() : *m_queue.pop(Clock::now());
        const auto &waiter = *m_waiters.at(ticket.value());
        callStarted(waiter.route, waiter.terms);
        wake(ticket, true);
    }
    armRateTimer();
}

void SlotQueue::armRateTimer()
{
    if (m_queue.size() == 0 || !isRateLimited()) {
        return;
    }
    m_rateTimer.expires_after(m_rateLimiter.timeUntil(1, Clock::now()));
    m_rateTimer.async_wait([weak = weak_from_this()](const ErrorCode &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->admitWaiting();
        }
    });
}

asio::awaitable<void> SlotQueue::admitWhenReleased()
{
    const auto keep = shared_from_this();
    asio::steady_timer timer(m_context, m_admission.nextRelease());
    ErrorCode ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    admitWaiting();
}

void SlotQueue::release(const SlotCall &call, AdmissionController::ReleaseReason reason)
{
    callReleased(call, reason);
    const bool sent = reason != AdmissionController::ReleaseReason::NotSent;
    const auto used = sent ? std::chrono::duration_cast<Microseconds>(Clock::now() - call.acquiredAt) : Microseconds(0);
    m_shares.callEnded(customerOf(call), call.chargedTime, used, Clock::now());
    if (reason == AdmissionController::ReleaseReason::NotSent) {
        m_rateLimiter.release(Clock::now());
    }
    if (reason == AdmissionController::ReleaseReason::Answered) {
        m_times.record(call.route, std::chrono::duration_cast<Microseconds>(Clock::now() - call.acquiredAt));
    }
    m_admission.release(call.route, call.acquiredAt, reason, Clock::now());
    if (reason == AdmissionController::ReleaseReason::TimedOut || reason == AdmissionController::ReleaseReason::Cancelled) {
        asio::co_spawn(m_context, admitWhenReleased(), asio::detached);
    }
    admitWaiting();
}

void SlotQueue::rejectWaiting()
{
    while (const auto ticket = m_queue.pop()) {
        wake(*ticket, false);
    }
}

}
