#pragma once

#include "core/config/configbundle.h"

#include <deque>
#include <memory>
#include <mutex>

namespace Galenahill {

// The revision that a node has in force, with the few before it as bases for
// deltas. Usable from several threads.
class RevisionHolder
{
public:
    // Holds up to so many revisions.
    explicit RevisionHolder(std::size_t maxHeld = 4)
        : m_maxHeld(maxHeld)
    {
    }

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

    // A held revision by digest, or null.
    std::shared_ptr<const ConfigRevision> find(const ContentHash &digest) const;

private:
    mutable std::mutex m_mutex;
    std::size_t m_maxHeld;
    std::deque<std::shared_ptr<const ConfigRevision>> m_held;
};

}
