#include "sharedtarget.h"

#include <utility>

namespace Galenahill {

SharedTarget::SharedTarget(Options options, std::vector<CustomerName> customers)
    : m_options(options)
    , m_names(std::move(customers))
    , m_queue({.byUrgency = true,
          .excess = [this](const CustomerName &customer) { return m_options.shares ? m_shares.excess(customer, m_now) : std::chrono::microseconds(0); }})
    , m_started(m_names.size())
    , m_rejected(m_names.size())
{
}

void SharedTarget::start(const Call &call, TimePoint now)
{
    ++m_started[call.customer];
    m_shares.callStarted(m_names[call.customer], m_options.serviceTime, now);
    m_running.emplace(now + call.serviceTime, call);
}

void SharedTarget::reject(QueueTicket ticket, TimePoint now)
{
    const auto found = m_queued.find(ticket.value());
    ++m_rejected[found->second.call.customer];
    m_shares.callRejected(m_names[found->second.call.customer], m_options.serviceTime, now);
    m_queue.remove(ticket);
    m_queued.erase(found);
}

void SharedTarget::rejectUnschedulable(TimePoint now)
{
    while (const auto ticket = m_queue.popUnschedulable(now, m_options.serviceTime / m_options.slots)) {
        reject(*ticket, now);
    }
}

void SharedTarget::advance(TimePoint now)
{
    while (!m_running.empty() && m_running.begin()->first <= now) {
        const auto [end, ended] = *m_running.begin();
        m_running.erase(m_running.begin());
        m_now = end;
        m_shares.callEnded(m_names[ended.customer], m_options.serviceTime, ended.serviceTime, end);
        for (auto queued = m_queued.begin(); queued != m_queued.end();) {
            const auto ticket = QueueTicket(queued->first);
            const bool timedOut = queued->second.startBy < end;
            ++queued;
            if (timedOut) {
                reject(ticket, end);
            }
        }
        if (const auto ticket = m_queue.pop(end)) {
            const auto next = m_queued.extract(ticket->value());
            start(next.mapped().call, end);
        }
    }
    m_now = now;
}

void SharedTarget::arrive(const Call &call, TimePoint now)
{
    advance(now);
    if (m_queue.size() == 0 && m_running.size() < m_options.slots) {
        start(call, now);
        return;
    }
    const auto &name = m_names[call.customer];
    const bool above = m_options.shares && m_shares.excess(name, now).count() > 0;
    const CallUrgency urgency{.priority = call.priority, .aboveShare = above, .startBy = now + m_options.maxWait};
    const QueueTicket ticket(m_nextTicket++);
    m_queued.emplace(ticket.value(), Queued{.call = call, .startBy = urgency.startBy});
    const auto interval = m_options.serviceTime / m_options.slots;
    if (interval * (m_queue.countAhead(urgency) + 1) >= m_options.maxWait) {
        reject(ticket, now);
        return;
    }
    if (const auto rejected = m_queue.push(ticket, RouteName("route"), m_options.capacity, urgency, name)) {
        reject(*rejected, now);
    }
    rejectUnschedulable(now);
}

const std::vector<std::uint64_t> &SharedTarget::started() const
{
    return m_started;
}

const std::vector<std::uint64_t> &SharedTarget::rejected() const
{
    return m_rejected;
}

void SharedTarget::resetCounts()
{
    m_started.assign(m_names.size(), 0);
    m_rejected.assign(m_names.size(), 0);
}

}
