#pragma once

#include "core/fleet/memberrecord.h"
#include "core/fleet/revisionholder.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

namespace Galenahill {

// State that the node's threads share. Only the control actor writes to it, apart from `revisions` and
// `routesCalls`.
class NodeState
{
public:
    RevisionHolder revisions;

    // Highest revision that any member has advertised as in force.
    std::atomic<std::uint64_t> highestKnownRevision = 0;

    // Whether this node is one of the members that watch the store's head.
    std::atomic<bool> watchesStore = false;

    // Whether this node maintains the contact list of its data centre.
    std::atomic<bool> maintainsContacts = false;

    // Whether the ingress has a configuration to route calls by; it rejects all calls until then.
    std::atomic<bool> routesCalls = false;

    std::atomic<bool> stopping = false;

    // All known members; the first is this node.
    std::vector<MemberRecord> members() const
    {
        const std::lock_guard lock(m_mutex);
        return m_members;
    }

    void setMembers(std::vector<MemberRecord> members)
    {
        const std::lock_guard lock(m_mutex);
        m_members = std::move(members);
    }

private:
    mutable std::mutex m_mutex;
    std::vector<MemberRecord> m_members;
};

}
