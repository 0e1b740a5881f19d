#include "core/fleet/readinessgate.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

Endpoint member(std::uint16_t number)
{
    return {"10.0.0.1", number};
}

}

// A starting node sees revision 6 advertised by a member that is behind, while the store holds 7.
// With 6, callers would be routed by a configuration that the node's predecessor had already
// replaced.
BOOST_AUTO_TEST_CASE(WaitsForTheRevisionOfTheStore)
{
    ReadinessGate gate;
    gate.revisionAdvertised(member(1), Revision(6));
    BOOST_TEST(!gate.checkReady(Revision(6), 10));
    gate.storeAnswered(Revision(7));
    BOOST_TEST(!gate.checkReady(Revision(6), 10));
    BOOST_TEST(gate.checkReady(Revision(7), 10));
}

// The store is unavailable when the node starts. The first member that advertises a revision is
// behind, two others aren't. Relying on the first alone would serve revision 6.
BOOST_AUTO_TEST_CASE(NeedsSeveralMembersWithoutTheStore)
{
    ReadinessGate gate;
    gate.storeFailed();
    gate.revisionAdvertised(member(1), Revision(6));
    gate.revisionAdvertised(member(1), Revision(6));
    gate.revisionAdvertised(member(4), Revision(0));
    BOOST_TEST(!gate.checkReady(Revision(6), 10));
    gate.revisionAdvertised(member(2), Revision(7));
    gate.revisionAdvertised(member(3), Revision(7));
    BOOST_TEST(!gate.checkReady(Revision(6), 10));
    BOOST_TEST(gate.checkReady(Revision(7), 10));
}

BOOST_AUTO_TEST_CASE(SmallFleetNeedsNoMoreMembersThanThereAre)
{
    ReadinessGate gate;
    gate.storeFailed();
    BOOST_TEST(!gate.checkReady(Revision(0), 0));
    gate.revisionAdvertised(member(1), Revision(3));
    BOOST_TEST(gate.checkReady(Revision(3), 1));
}

BOOST_AUTO_TEST_CASE(EmptyStoreMakesReady)
{
    ReadinessGate gate;
    gate.storeAnswered(Revision(0));
    BOOST_TEST(gate.checkReady(Revision(0), 0));
}
