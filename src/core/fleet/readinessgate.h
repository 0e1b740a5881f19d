#pragma once

#include "common/endpoint.h"
#include "common/identifiers.h"

#include <set>

namespace Galenahill {

// Decides when a starting node is ready to accept calls: once it holds the highest revision that it
// can learn from the store or, if the store is unavailable, from several members. It stays ready
// from then on.
class ReadinessGate
{
public:
    // The store was read; the revision is zero if no configuration was ever accepted.
    void storeAnswered(Revision revision);

    // The store didn't answer.
    void storeFailed();

    // A member advertised the revision that it has in force.
    void revisionAdvertised(const Endpoint &member, Revision revision);

    // Returns whether a node that holds this revision and knows this many other live members is
    // ready.
    bool checkReady(Revision held, std::size_t members);

private:
    static constexpr std::size_t RequiredMembers = 3;

    bool m_ready = false;
    bool m_storeAnswered = false;
    bool m_storeFailed = false;
    Revision m_highest;
    std::set<Endpoint> m_advertisers;
};

}
