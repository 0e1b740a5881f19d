#include "core/fleet/readinessgate.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

Endpoint member(std::uint16_t number)
{
    return {"10.0.0.1", number};
}

}

// A node starts and hears revision 6 from a member that is behind, while the
// store holds 7. Callers would be routed by the older one, which the node's
// predecessor had left.
BOOST_AUTO_TEST_CASE(WaitsForTheStoresRevision)
{
    ReadinessGate gate;
    gate.memberHeard(member(1), Revision(6));
    BOOST_TEST(!gate.open(Revision(6), 10));
    gate.storeAnswered(Revision(7));
    BOOST_TEST(!gate.open(Revision(6), 10));
    BOOST_TEST(gate.open(Revision(7), 10));
}

// The store is out when the node starts. The first member that it meets is
// behind; two more are not. Going by the first alone would serve revision 6.
BOOST_AUTO_TEST_CASE(AsksSeveralMembersWithTheStoreOut)
{
    ReadinessGate gate;
    gate.storeFailed();
    gate.memberHeard(member(1), Revision(6));
    gate.memberHeard(member(1), Revision(6));
    gate.memberHeard(member(4), Revision(0));
    BOOST_TEST(!gate.open(Revision(6), 10));
    gate.memberHeard(member(2), Revision(7));
    gate.memberHeard(member(3), Revision(7));
    BOOST_TEST(!gate.open(Revision(6), 10));
    BOOST_TEST(gate.open(Revision(7), 10));
}

BOOST_AUTO_TEST_CASE(SmallFleetNeedsNoMoreMembersThanThereAre)
{
    ReadinessGate gate;
    gate.storeFailed();
    BOOST_TEST(!gate.open(Revision(0), 0));
    gate.memberHeard(member(1), Revision(3));
    BOOST_TEST(gate.open(Revision(3), 1));
}

BOOST_AUTO_TEST_CASE(EmptyStoreOpens)
{
    ReadinessGate gate;
    gate.storeAnswered(Revision(0));
    BOOST_TEST(gate.open(Revision(0), 0));
}
