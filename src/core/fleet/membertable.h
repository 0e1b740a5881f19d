#pragma once

#include "core/fleet/memberrecord.h"

#include <functional>
#include <map>
#include <vector>

namespace Galenahill {

// Whether the member was declared gone or has left.
bool isGoneOrLeft(const MemberRecord &record);

// The other members as one member knows them, by name.
class MemberTable
{
public:
    struct Member
    {
        MemberRecord record;
        // When the record last changed, or was touched.
        TimePoint updatedAt;
        // Highest revision that it has advertised.
        Revision revision;
    };

    // Stores the record if it supersedes the known one, and returns whether it did. An unknown
    // member that is gone or has left isn't added. Earlier members at the same address are marked
    // gone.
    bool merge(const MemberRecord &record, TimePoint now);

    // The member of that name, or null.
    Member *find(const NodeName &name);

    // The member at the control address, or null. If several members had the address one after the
    // other, the current one.
    Member *findByEndpoint(const Endpoint &control);

    // All members, in name order.
    std::map<NodeName, Member> &all();
    const std::map<NodeName, Member> &all() const;
    std::size_t size() const;

    // Restarts the timers of all members, as if their records had just changed.
    void touch(TimePoint now);

    // Up to `count` members that follow `name` in name order, wrapping around, without those gone
    // or left.
    std::vector<MemberRecord> successors(const NodeName &name, std::size_t count) const;

private:
    void markPredecessorsGone(const MemberRecord &record, TimePoint now);

    std::map<NodeName, Member> m_members;
};

}
