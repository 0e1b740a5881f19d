#include "core/fleet/revisionpuller.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace Galenahill;

namespace {

struct Fixture
{
    std::vector<Endpoint> asked;
    Revision held;
    TimePoint now = TimePoint() + std::chrono::hours(1);
    RevisionPuller puller{{.pull = [this](const Endpoint &peer) { asked.push_back(peer); }, .held = [this] { return held; }}};
    Endpoint first{"10.0.0.1", 1};
    Endpoint second{"10.0.0.2", 1};
    Endpoint third{"10.0.0.3", 1};
};

}

// The member that told of the revision dies before it is asked. Callers of
// this node would see the old configuration until some later datagram.
BOOST_FIXTURE_TEST_CASE(FailedFetchGoesToAnotherMemberAtOnce, Fixture)
{
    puller.heard(first, Revision(5), now);
    puller.heard(second, Revision(5), now);
    BOOST_TEST(asked.size() == 1U);
    puller.ended(first, now);
    BOOST_REQUIRE(asked.size() == 2U);
    BOOST_TEST((asked.back() == second));
}

// The member asked is frozen: it accepts the connection and never answers.
// After a short time another one is asked beside it, but no more than two.
BOOST_FIXTURE_TEST_CASE(SlowFetchIsHedged, Fixture)
{
    puller.heard(first, Revision(5), now);
    puller.heard(second, Revision(5), now);
    puller.heard(third, Revision(5), now);
    puller.tick(now + Milliseconds(100));
    BOOST_TEST(asked.size() == 1U);
    puller.tick(now + Milliseconds(300));
    BOOST_TEST(asked.size() == 2U);
    puller.tick(now + Milliseconds(900));
    BOOST_TEST(asked.size() == 2U);
}

// A crossed or duplicated datagram shows a revision that is held already.
BOOST_FIXTURE_TEST_CASE(HeldRevisionIsNotFetched, Fixture)
{
    held = Revision(5);
    puller.heard(first, Revision(5), now);
    puller.heard(second, Revision(4), now);
    BOOST_TEST(asked.empty());
}

// While revision 5 is on its way, 6 is heard: the fetch of 5 doesn't end it.
BOOST_FIXTURE_TEST_CASE(NewerRevisionIsFetchedAfterwards, Fixture)
{
    puller.heard(first, Revision(5), now);
    puller.heard(second, Revision(6), now);
    held = Revision(5);
    puller.ended(first, now);
    BOOST_REQUIRE(asked.size() == 2U);
    held = Revision(6);
    puller.ended(second, now);
    BOOST_TEST(asked.size() == 2U);
}

// A watcher of the store hears from a member of a revision that its own watch
// is about to bring. It waits for that one as long as it may, and fetches only
// then: the watch may hang. One that doesn't watch fetches at once.
BOOST_FIXTURE_TEST_CASE(AWatcherGivesItsOwnWatchSomeTime, Fixture)
{
    bool watches = true;
    RevisionPuller patient({.patience = [&] { return Milliseconds(watches ? 800 : 0); },
        .pull = [this](const Endpoint &peer) { asked.push_back(peer); },
        .held = [this] { return held; }});
    patient.heard(first, Revision(5), now);
    patient.tick(now + Milliseconds(700));
    BOOST_TEST(asked.empty());
    patient.tick(now + Milliseconds(900));
    BOOST_TEST(asked.size() == 1U);
    patient.ended(first, now + Milliseconds(950));
    held = Revision(5);
    watches = false;
    patient.heard(second, Revision(6), now + Milliseconds(2000));
    BOOST_TEST(asked.size() == 2U);
}

// The watch brings the revision within its time: nothing is fetched.
BOOST_FIXTURE_TEST_CASE(NothingIsFetchedThatTheWatchBrought, Fixture)
{
    RevisionPuller patient(
        {.patience = [] { return Milliseconds(800); }, .pull = [this](const Endpoint &peer) { asked.push_back(peer); }, .held = [this] { return held; }});
    patient.heard(first, Revision(5), now);
    held = Revision(5);
    patient.tick(now + Milliseconds(900));
    BOOST_TEST(asked.empty());
}
