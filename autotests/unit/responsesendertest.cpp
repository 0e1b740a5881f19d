#include "largeresponsefixture.h"

using namespace Galenahill;

namespace {

struct Fixture : Test::LargeResponseFixture
{
    explicit Fixture(std::uint32_t linkMbps, std::uint32_t slots, bool local = false)
        : Test::LargeResponseFixture(testAddress(17), linkMbps, slots, local)
    {
    }
};

struct Caller : Test::Caller
{
    explicit Caller(const std::string &path, int timeoutMs = 15000)
        : Test::Caller({testAddress(17), 8080}, path, timeoutMs)
    {
    }
};

}

// Guards against lookups that wait behind exports on the link, or for the slot of a target whose only
// slot is held until an export has been sent.
BOOST_AUTO_TEST_CASE(SmallResponsesPassLargeTransfer)
{
    Fixture fixture(Test::SlowLink, 1);
    const auto begin = Clock::now();
    Caller large("/export/540000");
    BOOST_REQUIRE(!large.readTo("\r\n\r\n").empty());
    BOOST_TEST(fixture.onThread([&] { return fixture.sidecar.inFlight(); }) == 0);
    for (int i = 0; i < 5; ++i) {
        const auto sentAt = Clock::now();
        BOOST_TEST(Caller("/lookup/400").receives(400));
        BOOST_TEST((Clock::now() - sentAt < Milliseconds(100)));
        BOOST_TEST(fixture.backlogBytes() > 0);
    }
    BOOST_TEST(large.skip(540000));
    // The link's share for large responses is 1.21 MB/s.
    BOOST_TEST((Clock::now() - begin >= Milliseconds(380)));
}

// Guards against readers that take nothing and keep the link from everybody else.
BOOST_AUTO_TEST_CASE(SlowReadersDoNotBlockOtherTransfers)
{
    Fixture fixture(Test::FastLink, 9);
    constexpr std::size_t MoreThanSocketsBuffer = 40'000'000;
    std::vector<std::unique_ptr<Caller>> slow;
    for (int i = 0; i < 3; ++i) {
        slow.push_back(std::make_unique<Caller>("/export/" + std::to_string(MoreThanSocketsBuffer)));
        BOOST_REQUIRE(!slow.back()->readTo("\r\n\r\n").empty());
    }
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(Caller("/export/300000").receives(300000));
    }
    BOOST_TEST(fixture.backlogBytes() > 0);
}

// Guards against exports that use up the node's memory while they wait for the link. Those beyond the
// bound stay at the target, keep their slots, and arrive all the same.
BOOST_AUTO_TEST_CASE(BufferedResponsesAreBounded)
{
    constexpr int Calls = 14;
    std::uint64_t highest = 0;
    Fixture fixture(Test::FastLink / 10, 18);
    const auto &schedule = fixture.sidecar.responseSender().schedule();
    fixture.onThread([&] { fixture.handlerRun = [&] { highest = std::max(highest, schedule.bufferedBytes()); }; });
    fixture.exportsTogether = Calls;
    std::vector<std::unique_ptr<Caller>> callers;
    callers.reserve(Calls);
    for (int i = 0; i < Calls; ++i) {
        callers.push_back(std::make_unique<Caller>("/export/540000"));
    }
    BOOST_TEST(fixture.waitUntil([&] { return fixture.targetCalls == Calls && highest > 0 && schedule.bufferedBytes() == 0; }));
    const auto highestSeen = fixture.onThread([&] { return highest; });
    BOOST_TEST(highestSeen <= 5 * 1024 * 1024);
    BOOST_TEST(highestSeen >= 4 * 1024 * 1024);
    for (const auto &caller : callers) {
        BOOST_TEST(caller->receives(540000));
    }
}

// Guards against sending a response that nobody reads any more, and against keeping its memory, or the
// place of a call that nobody waits for.
BOOST_AUTO_TEST_CASE(CallerThatLeavesEndsTransfer)
{
    Fixture fixture(Test::SlowLink, 9);
    const auto &schedule = fixture.sidecar.responseSender().schedule();
    Caller large("/export/4000000");
    BOOST_REQUIRE(!large.readTo("\r\n\r\n").empty());
    const auto leftAt = Clock::now();
    Caller waiting("/export/100");
    BOOST_TEST(fixture.waitUntil([&] { return schedule.waiting() == 1; }));
    waiting.close();
    BOOST_TEST(fixture.waitUntil([&] { return schedule.waiting() == 0; }));
    BOOST_TEST(fixture.targetCalls == 1);
    large.close();
    BOOST_TEST(fixture.waitUntil([&] { return schedule.backlogBytes() == 0 && schedule.bufferedBytes() == 0; }));
    BOOST_TEST((Clock::now() - leftAt < Milliseconds(1500)));
}

// Guards against running an export that cannot arrive in time. Its caller learns when to retry.
BOOST_AUTO_TEST_CASE(CallThatCannotBeThroughIsNotRun)
{
    Fixture fixture(Test::SlowLink, 9);
    Caller large("/export/4000000");
    BOOST_REQUIRE(!large.readTo("\r\n\r\n").empty());
    const auto response = Caller("/export/100", 1500).readTo("\r\n\r\n");
    BOOST_TEST(response.find("503") != std::string::npos);
    BOOST_TEST(response.find("Retry-After") != std::string::npos);
    BOOST_TEST(fixture.targetCalls == 1);
    BOOST_TEST(fixture.onThread([&] { return fixture.sidecar.responseSender().counts().rejected; }) > 0);
}

// Guards against delaying responses to callers on the same VM, or on nodes that do not know their link.
BOOST_AUTO_TEST_CASE(ResponsesThatNeedNoLinkAreNotScheduled)
{
    for (const bool local : {true, false}) {
        Fixture fixture(local ? Test::SlowLink : 0, 9, local);
        BOOST_TEST(Caller("/export/540000").receives(540000));
        BOOST_TEST(fixture.onThread([&] { return fixture.sidecar.responseSender().counts().admitted; }) == 0);
    }
}
