#pragma once

#include "core/config/configbundle.h"

#include <memory>
#include <mutex>

namespace Galenahill {

// The revision that a node has in force. Usable from several threads.
class RevisionHolder
{
public:
    enum class Verdict {
        Taken,
        // The same revision again.
        Known,
        // Below the one in force; never taken, whoever sends it.
        Older,
        // The number in force with another content: two lines of history,
        // such as after the store was restored from an older backup.
        Forked,
    };

    // Puts the revision in force if it is above the present one.
    Verdict offer(std::shared_ptr<const ConfigRevision> revision);

    // The revision in force, or null before the first.
    std::shared_ptr<const ConfigRevision> current() const;

    // Its number; zero before the first.
    Revision revision() const;

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const ConfigRevision> m_inForce;
};

}
