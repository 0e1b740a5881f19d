#include "exportsimulation.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;
using namespace Galenahill::Test;

namespace {

constexpr TimePoint Now{std::chrono::seconds(10)};
constexpr Milliseconds ServiceTime{330};

// A link that carries 1 MB/s of large responses.
ResponseSchedule::Options link()
{
    return {.bytesPerSecond = 1'000'000, .responseFraction = 1, .maxTransfers = 2, .maxBufferedBytes = 200'000, .maxCatchUp = Milliseconds(0)};
}

ResponseSchedule::Call call(std::uint64_t bytes, Milliseconds objective = Milliseconds(1000), Milliseconds deadline = Milliseconds(4000))
{
    return {.objective = Now + objective, .deadline = Now + deadline, .bytes = bytes, .serviceTime = ServiceTime};
}

// Adds a call, admits it, and has its response produced at once.
void produce(ResponseSchedule &schedule, std::uint64_t ticket, const ResponseSchedule::Call &call)
{
    BOOST_REQUIRE(schedule.add(ResponseTicket(ticket), call, true, Now));
    const auto decision = schedule.nextDecision(Now);
    BOOST_REQUIRE(decision && decision->admitted && decision->ticket == ResponseTicket(ticket));
    schedule.produced(ResponseTicket(ticket), call.bytes);
    schedule.requestPart(ResponseTicket(ticket), call.bytes, Now);
}

}

// Guards against serving nobody under Deployment B's load: eight links carry 1.37 MB/s each, and the
// responses amount to 1.12 times that. Sent in order of arrival, nearly all of them are late, and more
// than half complete after their callers have left.
BOOST_AUTO_TEST_CASE(OverloadedLinksServeMostCalls)
{
    const std::map<std::uint64_t, double> leastServed{{1, 0.880}, {2, 0.868}};
    for (const auto &[seed, served] : leastServed) {
        const auto ordered = ExportSimulation(seed, 136).runInOrder();
        const auto scheduled = ExportSimulation(seed, 136).run();
        BOOST_TEST_MESSAGE("in order of arrival: on time " << ordered.share(ordered.onTime) << ", late " << ordered.share(ordered.late));
        BOOST_TEST_MESSAGE("scheduled: on time " << scheduled.share(scheduled.onTime) << ", late " << scheduled.share(scheduled.late) << ", rejected "
                                                 << scheduled.share(scheduled.rejected) << ", lost " << scheduled.share(scheduled.lost) << ", of them started "
                                                 << scheduled.lostStarted << ", idle " << scheduled.idleShare << ", buffered " << scheduled.maxBuffered);
        BOOST_TEST(scheduled.share(scheduled.onTime) >= 0.7);
        BOOST_TEST(scheduled.share(scheduled.onTime + scheduled.late) >= served);
        BOOST_TEST(scheduled.share(scheduled.lostStarted) < 0.005);
        BOOST_TEST(ordered.share(ordered.onTime + ordered.late) <= 0.5);
        BOOST_TEST(scheduled.rejectedIdle == 0);
        BOOST_TEST(scheduled.admittedTooLate == 0);
        BOOST_TEST(scheduled.idleShare <= 0.005);
        BOOST_TEST(scheduled.maxBuffered <= 5 * 1024 * 1024);
    }
}

// Guards against rejecting or losing calls where all links together carry the load, while each data
// centre in turn asks for more than its own links carry.
BOOST_AUTO_TEST_CASE(SwingWithinCapacityIsServed)
{
    for (const std::uint64_t seed : {1, 2}) {
        const auto result = ExportSimulation(seed, 100).run();
        BOOST_TEST_MESSAGE("on time " << result.share(result.onTime) << ", late " << result.share(result.late) << ", lost " << result.share(result.lost));
        BOOST_TEST(result.share(result.onTime) >= 0.9);
        BOOST_TEST(result.share(result.rejected + result.lost) <= 0.01);
    }
}

// Guards against late calls that delay one which could be on time.
BOOST_AUTO_TEST_CASE(CallsThatCanBeOnTimeGoFirst)
{
    ResponseSchedule schedule(link());
    produce(schedule, 1, call(400'000, Milliseconds(0)));
    produce(schedule, 2, call(400'000, Milliseconds(0)));
    BOOST_TEST(schedule.nextPart(Now)->ticket == ResponseTicket(1));
    // Waits behind 800 KB, and its caller leaves after a second.
    BOOST_TEST(!schedule.add(ResponseTicket(3), call(400'000, Milliseconds(0), Milliseconds(1000)), true, Now));
    BOOST_TEST(!schedule.add(ResponseTicket(3), call(400'000, Milliseconds(500)), false, Now));
    BOOST_TEST(schedule.add(ResponseTicket(4), call(400'000, Milliseconds(0)), true, Now));
    BOOST_TEST(!schedule.nextDecision(Now));
    produce(schedule, 5, call(90'000));
    BOOST_TEST(schedule.nextPart(schedule.linkFreeAt())->ticket == ResponseTicket(5));
}

// Guards against running a call whose response would be complete after its caller has left.
BOOST_AUTO_TEST_CASE(WaitingCallIsRejectedWhenItCannotBeThrough)
{
    ResponseSchedule schedule(link());
    produce(schedule, 1, call(700'000));
    BOOST_TEST(schedule.add(ResponseTicket(2), call(90'000, Milliseconds(0), Milliseconds(1500)), true, Now));
    BOOST_TEST(!schedule.nextDecision(Now + Milliseconds(1000)));
    const auto decision = schedule.nextDecision(Now + Milliseconds(1081));
    BOOST_TEST((decision && !decision->admitted && decision->ticket == ResponseTicket(2)));
    BOOST_TEST(schedule.waiting() == 0);
}

// Guards against a target that gets no call any more after a few slow ones, whose times are never corrected.
BOOST_AUTO_TEST_CASE(IdleTargetIsTriedWhateverItsEstimates)
{
    ResponseSchedule schedule(link());
    auto slow = call(90'000);
    slow.serviceTime = Milliseconds(3950);
    slow.highServiceTime = Milliseconds(5000);
    BOOST_TEST(schedule.add(ResponseTicket(1), slow, true, Now));
    const auto decision = schedule.nextDecision(Now);
    BOOST_TEST((decision && decision->admitted && decision->ticket == ResponseTicket(1)));
    BOOST_TEST(!schedule.add(ResponseTicket(2), slow, true, Now));
    schedule.remove(ResponseTicket(1));
    BOOST_TEST(!schedule.add(ResponseTicket(3), call(4'100'000), true, Now));
}

// Guards against two readers that take nothing and block the link for everybody.
BOOST_AUTO_TEST_CASE(StalledTransferLosesItsPlace)
{
    ResponseSchedule schedule(link());
    produce(schedule, 1, call(50'000));
    produce(schedule, 2, call(60'000));
    produce(schedule, 3, call(70'000));
    BOOST_TEST(schedule.nextPart(Now)->ticket == ResponseTicket(1));
    BOOST_TEST(schedule.nextPart(schedule.linkFreeAt())->ticket == ResponseTicket(2));
    BOOST_TEST(!schedule.nextPart(schedule.linkFreeAt()));
    BOOST_TEST(schedule.nextPart(Now + Milliseconds(600))->ticket == ResponseTicket(3));
}

// Guards against unbounded memory for responses that wait for the link, and against memory that is
// never returned.
BOOST_AUTO_TEST_CASE(MemoryIsBounded)
{
    ResponseSchedule schedule(link());
    produce(schedule, 1, call(150'000));
    produce(schedule, 2, call(100'000));
    BOOST_TEST(schedule.takeMemory(ResponseTicket(1), 150'000));
    BOOST_TEST(!schedule.takeMemory(ResponseTicket(2), 100'000));
    schedule.remove(ResponseTicket(1));
    BOOST_TEST(schedule.takeMemory(ResponseTicket(2), 100'000));
    BOOST_TEST(schedule.bufferedBytes() == 100'000);
}

// Guards against giving up a produced response because it is expected to be late (LOST), and against
// sending it after its caller has left.
BOOST_AUTO_TEST_CASE(ProducedResponseIsKeptUntilItsDeadline)
{
    ResponseSchedule schedule(link());
    produce(schedule, 1, call(400'000));
    BOOST_TEST(!schedule.expired(Now + Milliseconds(3601)));
    for (int part = 0; part < 10; ++part) {
        const auto now = std::max<TimePoint>(Now + Milliseconds(3601), schedule.linkFreeAt());
        BOOST_TEST((schedule.nextPart(now)->ticket == ResponseTicket(1)));
        schedule.requestPart(ResponseTicket(1), 400'000, now);
    }
    BOOST_TEST(!schedule.expired(Now + Milliseconds(4000)));
    BOOST_TEST(!schedule.expired(Now + Milliseconds(4020)));
    BOOST_TEST((schedule.expired(Now + Milliseconds(4021)) == ResponseTicket(1)));
}

// Guards against a response that cannot be complete in time and delays others or takes their places, and
// against one that gets nothing although the link is free.
BOOST_AUTO_TEST_CASE(ResponseThatCannotBeCompleteGivesWay)
{
    ResponseSchedule schedule(link());
    for (const std::uint64_t ticket : {1, 2, 3}) {
        produce(schedule, ticket, call(90'000));
        schedule.produced(ResponseTicket(ticket), 5'000'000);
    }
    BOOST_TEST(schedule.nextPart(Now)->ticket == ResponseTicket(1));
    BOOST_TEST(schedule.nextPart(schedule.linkFreeAt())->ticket == ResponseTicket(2));
    produce(schedule, 4, call(90'000, Milliseconds(0)));
    produce(schedule, 5, call(80'000, Milliseconds(0)));
    BOOST_TEST(schedule.nextPart(schedule.linkFreeAt())->ticket == ResponseTicket(5));
    BOOST_TEST(schedule.nextPart(schedule.linkFreeAt())->ticket == ResponseTicket(4));
    // The first two still have their places, the third has to wait for one.
    BOOST_TEST(!schedule.nextPart(schedule.linkFreeAt()));
    schedule.requestPart(ResponseTicket(2), 4'900'000, schedule.linkFreeAt());
    BOOST_TEST(schedule.nextPart(schedule.linkFreeAt())->ticket == ResponseTicket(2));
}

// Guards against running a call whose response would be too late whenever it is larger, or produced
// later, than the average.
BOOST_AUTO_TEST_CASE(CallIsNotRunIfItCouldMissItsDeadline)
{
    ResponseSchedule schedule(link());
    auto large = call(90'000, Milliseconds(0), Milliseconds(1000));
    BOOST_TEST(schedule.add(ResponseTicket(1), large, true, Now));
    large.highBytes = 671'000;
    BOOST_TEST(!schedule.add(ResponseTicket(2), large, true, Now));
    auto slow = call(90'000, Milliseconds(0), Milliseconds(1000));
    slow.highServiceTime = Milliseconds(911);
    BOOST_TEST(!schedule.add(ResponseTicket(2), slow, true, Now));
    slow.highServiceTime = Milliseconds(819);
    BOOST_TEST(schedule.add(ResponseTicket(2), slow, true, Now));
    BOOST_TEST(schedule.nextDecision(Now)->admitted);
    const auto decision = schedule.nextDecision(Now + Milliseconds(92));
    BOOST_TEST((decision && !decision->admitted && decision->ticket == ResponseTicket(2)));
}

// Guards against admitting a call whose response would wait for the link until its caller has left.
BOOST_AUTO_TEST_CASE(BacklogCountsWhenACallIsAdmitted)
{
    ResponseSchedule schedule(link());
    BOOST_TEST(schedule.add(ResponseTicket(1), call(90'000, Milliseconds(0), Milliseconds(1000)), true, Now));
    produce(schedule, 2, call(600'000, Milliseconds(2000)));
    const auto decision = schedule.nextDecision(Now + Milliseconds(400));
    BOOST_TEST((decision && !decision->admitted && decision->ticket == ResponseTicket(1)));
}

// Guards against a node that, after its restart, admits calls as if their responses were small, and
// against one that never corrects its assumption.
BOOST_AUTO_TEST_CASE(SizesAreLearntFromResponses)
{
    ResponseSizes sizes({.assumedBytes = 100'000, .assumedWeight = 4, .maxRoutes = 2});
    const RouteName route("export");
    BOOST_TEST(sizes.estimate(route, Now).mean == 100'000);
    BOOST_TEST(!sizes.estimate(route, Now).age);
    sizes.record(route, 1000, Now);
    BOOST_TEST(sizes.estimate(route, Now).mean == 80'200);
    for (int i = 1; i <= 100; ++i) {
        sizes.record(route, i <= 90 ? 10'000 : 50'000, Now);
    }
    const auto estimate = sizes.estimate(route, Now + Milliseconds(70));
    BOOST_TEST(estimate.mean == 16'250);
    BOOST_TEST(estimate.high == 50'000);
    BOOST_TEST(estimate.age->count() == 70);
    // A configuration may have any number of routes.
    sizes.record(RouteName("other"), 1000, Now + Milliseconds(1));
    sizes.record(RouteName("third"), 1000, Now + Milliseconds(2));
    BOOST_TEST(sizes.routes() == 2);
    BOOST_TEST(sizes.estimate(route, Now).mean == 100'000);
}
