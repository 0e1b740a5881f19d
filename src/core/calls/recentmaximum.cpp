#include "core/calls/recentmaximum.h"

namespace Galenahill {

RecentMaximum::RecentMaximum(Milliseconds memory)
    : m_memory(memory)
{
}

void RecentMaximum::set(std::size_t value, TimePoint now)
{
    while (!m_entries.empty() && m_entries.back().value <= value) {
        m_entries.pop_back();
    }
    if (!m_entries.empty()) {
        m_entries.back().until = now;
    }
    while (!m_entries.empty() && now - m_entries.front().until > m_memory) {
        m_entries.pop_front();
    }
    m_entries.push_back({value, now});
}

std::size_t RecentMaximum::value(TimePoint now) const
{
    for (const auto &entry : m_entries) {
        if (&entry == &m_entries.back() || now - entry.until <= m_memory) {
            return entry.value;
        }
    }
    return 0;
}

}
