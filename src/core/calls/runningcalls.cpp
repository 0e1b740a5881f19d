#include "core/calls/runningcalls.h"

namespace Galenahill {

void RunningCalls::started(const std::string &id, RunningCall call, TimePoint now)
{
    removeExpired(now);
    m_calls.insert_or_assign(id, Entry{.call = std::move(call)});
}

void RunningCalls::answered(const std::string &id)
{
    m_calls.erase(id);
}

void RunningCalls::unanswered(const std::string &id, TimePoint deadline)
{
    const auto found = m_calls.find(id);
    if (found != m_calls.end()) {
        found->second.until = deadline;
        found->second.call.isAbandoned = true;
        m_expiry.emplace(deadline, id);
    }
}

std::optional<RunningCall> RunningCalls::find(std::string_view id, TimePoint now) const
{
    const auto found = m_calls.find(std::string(id));
    return found == m_calls.end() || found->second.until <= now ? std::nullopt : std::optional(found->second.call);
}

std::size_t RunningCalls::size() const
{
    return m_calls.size();
}

// The same id may have been sent to the target again since.
void RunningCalls::removeExpired(TimePoint now)
{
    while (!m_expiry.empty() && m_expiry.begin()->first <= now) {
        const auto found = m_calls.find(m_expiry.begin()->second);
        if (found != m_calls.end() && found->second.until <= now) {
            m_calls.erase(found);
        }
        m_expiry.erase(m_expiry.begin());
    }
}

}
