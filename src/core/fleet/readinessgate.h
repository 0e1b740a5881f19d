#pragma once

#include "common/endpoint.h"
#include "common/identifiers.h"

#include <set>

namespace Galenahill {

// Decides when a starting node may take calls: once it holds the highest
// revision that it can learn from the store or, with the store out, from
// several members. Stays open once it was open.
class ReadinessGate
{
public:
    // The store was read; zero if nothing was ever accepted.
    void storeAnswered(Revision revision);

    // The store didn't answer.
    void storeFailed();

    // A member was heard to have this revision in force.
    void memberHeard(const Endpoint &member, Revision revision);

    // Whether calls may be taken by a node that holds this revision and knows
    // that many other live members.
    bool open(Revision held, std::size_t members);

private:
    static constexpr std::size_t MembersAsked = 3;

    bool m_open = false;
    bool m_storeAnswered = false;
    bool m_storeFailed = false;
    Revision m_highest;
    std::set<Endpoint> m_heard;
};

}
