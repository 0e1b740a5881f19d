#include "core/fleet/revisionholder.h"

namespace Galenahill {

RevisionHolder::OfferResult RevisionHolder::offer(std::shared_ptr<const ConfigRevision> revision)
{
    const std::lock_guard lock(m_mutex);
    if (m_inForce) {
        if (revision->digest == m_inForce->digest) {
            return OfferResult::Known;
        }
        // Messages are reordered and stores are restored from backups: without this check a late
        // older revision would revert accepted changes.
        if (revision->revision() < m_inForce->revision()) {
            return OfferResult::Older;
        }
        if (revision->revision() == m_inForce->revision()) {
            return OfferResult::Forked;
        }
    }
    m_inForce = std::move(revision);
    return OfferResult::Adopted;
}

std::shared_ptr<const ConfigRevision> RevisionHolder::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_inForce;
}

Revision RevisionHolder::revision() const
{
    const auto present = current();
    return present ? present->revision() : Revision();
}

}
