#pragma once

#include "core/fleet/memberrecord.h"

#include <functional>
#include <map>
#include <vector>

namespace Galenahill {

// Whether the member doesn't take part any more: given up, or left.
bool isOut(const MemberRecord &record);

// What one member knows of the others, by name.
class MemberTable
{
public:
    struct Member
    {
        MemberRecord record;
        // When the record was taken.
        TimePoint since;
        // Highest revision heard from it.
        Revision revision;
    };

    // Takes the record if it tells something new, and says whether it did. The
    // predecessors at its address are given up.
    bool take(const MemberRecord &record, TimePoint now);

    // The member of that name, or null.
    Member *find(const NodeName &name);

    // Of several members that were at an address, one after the other, the one
    // that is there now; null if there is none.
    Member *at(const Endpoint &control);

    // All members in the order of their names.
    std::map<NodeName, Member> &all();
    const std::map<NodeName, Member> &all() const;
    std::size_t size() const;

    // Counts the records as taken now, so that their time begins anew.
    void touch(TimePoint now);

    // Up to so many members that come after the name in the order of names,
    // around its end, without those that are out.
    std::vector<MemberRecord> successors(const NodeName &name, std::size_t count) const;

private:
    void giveUpPredecessors(const MemberRecord &record, TimePoint now);

    std::map<NodeName, Member> m_members;
};

}
