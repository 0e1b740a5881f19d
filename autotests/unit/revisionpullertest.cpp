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
    RevisionPuller puller{{.pull = [this](const Endpoint &peer) { asked.push_back(peer); }, .revision = [this] { return held; }}};
    Endpoint first{"10.0.0.1", 1};
    Endpoint second{"10.0.0.2", 1};
    Endpoint third{"10.0.0.3", 1};
};

}

// The member that advertised the revision dies before the pull. Callers of this node would be
// routed by the old configuration until some later datagram shows the revision.
BOOST_FIXTURE_TEST_CASE(FailedPullIsRetriedAtAnotherMemberAtOnce, Fixture)
{
    puller.revisionAdvertised(first, Revision(5), now);
    puller.revisionAdvertised(second, Revision(5), now);
    BOOST_TEST(asked.size() == 1U);
    puller.pullEnded(first, now);
    BOOST_REQUIRE(asked.size() == 2U);
    BOOST_TEST((asked.back() == second));
}

// The member asked is paused: it accepts the connection and never answers. After a short time
// another one is asked in parallel, but no more than two at once.
BOOST_FIXTURE_TEST_CASE(SlowPullIsHedged, Fixture)
{
    puller.revisionAdvertised(first, Revision(5), now);
    puller.revisionAdvertised(second, Revision(5), now);
    puller.revisionAdvertised(third, Revision(5), now);
    puller.tick(now + Milliseconds(100));
    BOOST_TEST(asked.size() == 1U);
    puller.tick(now + Milliseconds(300));
    BOOST_TEST(asked.size() == 2U);
    puller.tick(now + Milliseconds(900));
    BOOST_TEST(asked.size() == 2U);
}

// A reordered or duplicated datagram advertises a revision that this node already holds.
BOOST_FIXTURE_TEST_CASE(HeldRevisionIsNotPulled, Fixture)
{
    held = Revision(5);
    puller.revisionAdvertised(first, Revision(5), now);
    puller.revisionAdvertised(second, Revision(4), now);
    BOOST_TEST(asked.empty());
}

// Revision 6 is advertised while 5 is being pulled: it is pulled as soon as that pull ends.
BOOST_FIXTURE_TEST_CASE(NewerRevisionIsPulledAfterwards, Fixture)
{
    puller.revisionAdvertised(first, Revision(5), now);
    puller.revisionAdvertised(second, Revision(6), now);
    held = Revision(5);
    puller.pullEnded(first, now);
    BOOST_REQUIRE(asked.size() == 2U);
    held = Revision(6);
    puller.pullEnded(second, now);
    BOOST_TEST(asked.size() == 2U);
}

// A member advertises a revision that the node's own store watch is about to deliver. A watcher
// waits for its watch during the grace period and pulls only afterwards, since the watch may hang.
// A node that doesn't watch pulls at once.
BOOST_FIXTURE_TEST_CASE(WatcherPullsAfterTheGracePeriod, Fixture)
{
    bool watches = true;
    RevisionPuller watcher({.watchGracePeriod = [&] { return Milliseconds(watches ? 800 : 0); },
        .pull = [this](const Endpoint &peer) { asked.push_back(peer); },
        .revision = [this] { return held; }});
    watcher.revisionAdvertised(first, Revision(5), now);
    watcher.tick(now + Milliseconds(700));
    BOOST_TEST(asked.empty());
    watcher.tick(now + Milliseconds(900));
    BOOST_TEST(asked.size() == 1U);
    watcher.pullEnded(first, now + Milliseconds(950));
    held = Revision(5);
    watches = false;
    watcher.revisionAdvertised(second, Revision(6), now + Milliseconds(2000));
    BOOST_TEST(asked.size() == 2U);
}

// The watch delivers the revision within the grace period: nothing is pulled.
BOOST_FIXTURE_TEST_CASE(RevisionDeliveredByTheWatchIsNotPulled, Fixture)
{
    RevisionPuller watcher({.watchGracePeriod = [] { return Milliseconds(800); },
        .pull = [this](const Endpoint &peer) { asked.push_back(peer); },
        .revision = [this] { return held; }});
    watcher.revisionAdvertised(first, Revision(5), now);
    held = Revision(5);
    watcher.tick(now + Milliseconds(900));
    BOOST_TEST(asked.empty());
}
