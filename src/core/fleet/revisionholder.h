#pragma once

#include "core/config/configbundle.h"

#include <memory>
#include <mutex>

namespace Galenahill {

// The revision that a node has in force. Thread-safe.
class RevisionHolder
{
public:
    enum class OfferResult {
        Adopted,
        // The revision in force was offered again.
        Known,
        // Older than the one in force; never adopted, whoever sends it.
        Older,
        // The number of the one in force with different content: two diverged histories, such as
        // after the store was restored from an older backup.
        Forked,
    };

    // Puts the revision in force if it is newer than the current one.
    OfferResult offer(std::shared_ptr<const ConfigRevision> revision);

    // The revision in force, or null before the first.
    std::shared_ptr<const ConfigRevision> current() const;

    // Number of the revision in force; zero before the first.
    Revision revision() const;

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const ConfigRevision> m_inForce;
};

}
