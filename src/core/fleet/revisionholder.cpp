#include "core/fleet/revisionholder.h"

#include <algorithm>

namespace Galenahill {

RevisionHolder::Verdict RevisionHolder::offer(std::shared_ptr<const ConfigRevision> revision)
{
    const std::lock_guard lock(m_mutex);
    if (!m_held.empty()) {
        const auto &present = m_held.front();
        if (revision->digest == present->digest) {
            return Verdict::Known;
        }
        // Messages cross and stores come back from backups: without this
        // check a late older revision would take accepted changes back.
        if (revision->revision() < present->revision()) {
            return Verdict::Older;
        }
        if (revision->revision() == present->revision()) {
            return Verdict::Forked;
        }
    }
    m_held.push_front(std::move(revision));
    if (m_held.size() > m_maxHeld) {
        m_held.pop_back();
    }
    return Verdict::Taken;
}

std::shared_ptr<const ConfigRevision> RevisionHolder::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_held.empty() ? nullptr : m_held.front();
}

Revision RevisionHolder::revision() const
{
    const auto present = current();
    return present ? present->revision() : Revision();
}

std::shared_ptr<const ConfigRevision> RevisionHolder::find(const ContentHash &digest) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = std::find_if(m_held.begin(), m_held.end(), [&](const auto &revision) { return revision->digest == digest; });
    return found == m_held.end() ? nullptr : *found;
}

}
