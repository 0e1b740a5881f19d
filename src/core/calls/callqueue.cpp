#include "core/calls/callqueue.h"

#include <algorithm>
#include <tuple>

namespace Galenahill {

CallQueue::CallQueue(Options options)
    : m_options(std::move(options))
{
}

std::optional<QueueTicket> CallQueue::push(QueueTicket ticket, const RouteName &route, std::size_t capacity, CallUrgency urgency, const CustomerName &customer)
{
    m_waiting.push_back({.ticket = ticket, .route = route, .urgency = urgency, .customer = customer});
    updateShares();
    if (m_waiting.size() <= capacity) {
        return std::nullopt;
    }
    if (m_options.byUrgency) {
        const auto last = leastUrgent();
        const auto rejected = last->ticket;
        m_waiting.erase(last);
        return rejected;
    }
    // The newest call of the route with the most queued calls is rejected, so that those that have
    // waited longest keep their place.
    auto dropped = std::prev(m_waiting.end());
    if (m_options.fairShares) {
        for (auto candidate = m_waiting.begin(); candidate != m_waiting.end(); ++candidate) {
            if (waiting(candidate->route) > waiting(dropped->route)) {
                dropped = candidate;
            }
        }
        const auto longestRoute = dropped->route;
        dropped = std::prev(std::find_if(m_waiting.rbegin(), m_waiting.rend(), [&](const auto &item) { return item.route == longestRoute; }).base());
    }
    const auto rejected = dropped->ticket;
    m_waiting.erase(dropped);
    return rejected;
}

// The shares change while calls wait.
void CallQueue::updateShares()
{
    if (!m_options.excess || !m_options.byUrgency) {
        return;
    }
    for (auto &call : m_waiting) {
        call.excess = call.urgency.isTopLevel ? m_options.excess(call.customer) : std::chrono::microseconds(0);
        call.urgency.aboveShare = call.excess.count() > 0;
    }
}

std::list<CallQueue::Waiting>::iterator CallQueue::leastUrgent()
{
    const auto rank = [](const Waiting &call) { return std::tuple(call.urgency.isTopLevel, call.urgency.priority, call.excess, call.urgency.startBy); };
    return std::max_element(m_waiting.begin(), m_waiting.end(), [&](const auto &a, const auto &b) { return rank(a) < rank(b); });
}

std::optional<QueueTicket> CallQueue::pop(TimePoint now)
{
    if (m_waiting.empty()) {
        return std::nullopt;
    }
    updateShares();
    auto next = m_waiting.begin();
    if (m_options.byUrgency) {
        next = mostUrgent(now);
    } else if (m_options.fairShares) {
        next = std::min_element(m_waiting.begin(), m_waiting.end(), [this](const auto &a, const auto &b) { return running(a.route) < running(b.route); });
    }
    if (m_options.newestFirst) {
        const auto route = next->route;
        const bool anyRoute = !m_options.fairShares;
        next = std::prev(std::find_if(m_waiting.rbegin(), m_waiting.rend(), [&](const auto &item) { return anyRoute || item.route == route; }).base());
    }
    const auto ticket = next->ticket;
    m_waiting.erase(next);
    return ticket;
}

// A call that is late already goes behind those that can still be in time: ahead of them, it would
// make one after the other late, and none would meet its objective.
std::list<CallQueue::Waiting>::iterator CallQueue::mostUrgent(TimePoint now)
{
    const auto rank = [now](const Waiting &call) { return std::tuple(call.urgency.startBy < now, call.urgency); };
    return std::min_element(m_waiting.begin(), m_waiting.end(), [&](const auto &a, const auto &b) { return rank(a) < rank(b); });
}

std::size_t CallQueue::countAhead(const CallUrgency &urgency) const
{
    return static_cast<std::size_t>(
        std::count_if(m_waiting.begin(), m_waiting.end(), [&](const auto &call) { return !m_options.byUrgency || !(urgency < call.urgency); }));
}

// More urgent calls that came later have overtaken it. If it stayed queued until its latest start,
// it would learn too late that it has to go to another target.
std::optional<QueueTicket> CallQueue::popUnschedulable(TimePoint now, std::chrono::microseconds interval, std::chrono::microseconds nestedInterval)
{
    updateShares();
    for (auto call = m_waiting.begin(); m_options.byUrgency && call != m_waiting.end(); ++call) {
        // The count includes the call itself, which needs a slot as well.
        if (now + (call->urgency.isTopLevel ? interval : nestedInterval) * countAhead(call->urgency) > call->urgency.startBy) {
            const auto ticket = call->ticket;
            m_waiting.erase(call);
            return ticket;
        }
    }
    return std::nullopt;
}

std::optional<QueueTicket> CallQueue::popUnschedulable(TimePoint now, std::chrono::microseconds interval)
{
    return popUnschedulable(now, interval, interval);
}

std::optional<QueueTicket> CallQueue::popNested()
{
    auto next = m_waiting.end();
    for (auto call = m_waiting.begin(); call != m_waiting.end(); ++call) {
        if (!call->urgency.isTopLevel && (next == m_waiting.end() || call->urgency < next->urgency)) {
            next = call;
        }
    }
    if (next == m_waiting.end()) {
        return std::nullopt;
    }
    const auto ticket = next->ticket;
    m_waiting.erase(next);
    return ticket;
}

std::size_t CallQueue::nestedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_waiting.begin(), m_waiting.end(), [](const auto &call) { return !call.urgency.isTopLevel; }));
}

void CallQueue::remove(QueueTicket ticket)
{
    m_waiting.remove_if([&](const auto &item) { return item.ticket == ticket; });
}

std::size_t CallQueue::size() const
{
    return m_waiting.size();
}

void CallQueue::callStarted(const RouteName &route)
{
    ++m_running[route];
}

void CallQueue::callEnded(const RouteName &route)
{
    const auto found = m_running.find(route);
    if (found != m_running.end() && --found->second == 0) {
        m_running.erase(found);
    }
}

std::size_t CallQueue::waiting(const RouteName &route) const
{
    return static_cast<std::size_t>(std::count_if(m_waiting.begin(), m_waiting.end(), [&](const auto &item) { return item.route == route; }));
}

std::uint32_t CallQueue::running(const RouteName &route) const
{
    const auto found = m_running.find(route);
    return found == m_running.end() ? 0 : found->second;
}

}
