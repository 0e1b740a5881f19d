#include "largeresponsefixture.h"

using namespace Galenahill;
using namespace Galenahill::Test;

namespace {

constexpr Milliseconds Deadline{1500};
constexpr std::size_t LongBytes = 900'000;
constexpr std::size_t ShortBytes = 400'000;

struct Fixture : LargeResponseFixture
{
    Fixture()
        : LargeResponseFixture(testAddress(40), SlowLink, 9)
    {
        exportMs = 300;
    }

    std::unique_ptr<Caller> send(std::size_t bytes, Milliseconds deadline) const
    {
        return std::make_unique<Caller>(ingressEndpoint, "/export/" + std::to_string(bytes), static_cast<int>(deadline.count()));
    }
};

}

// Guards against ending a transfer before its caller's deadline because its rest is expected to arrive
// too late (LOST): shorter responses are produced while a long one is being sent.
BOOST_FIXTURE_TEST_CASE(TransferIsNotEndedBeforeItsDeadline, Fixture)
{
    const auto longer = send(LongBytes, Deadline);
    std::this_thread::sleep_for(Milliseconds(50));
    std::vector<std::unique_ptr<Caller>> shorter;
    shorter.reserve(3);
    for (int i = 0; i < 3; ++i) {
        shorter.push_back(send(ShortBytes, 10 * Deadline));
    }
    BOOST_REQUIRE(longer->readTo("\r\n\r\n").find("200 OK") != std::string::npos);
    BOOST_TEST(longer->skip(LongBytes));
    for (const auto &caller : shorter) {
        BOOST_TEST(caller->receives(ShortBytes));
    }
}

// Guards against answering "outcome unknown" before the deadline in place of a complete response, because
// that is expected to take too long.
BOOST_FIXTURE_TEST_CASE(ProducedResponseIsNotReplacedBeforeItsDeadline, Fixture)
{
    exportMs = 0;
    const auto sentAt = Clock::now();
    const auto caller = send(3 * LongBytes, Deadline);
    const auto header = caller->readTo("\r\n\r\n");
    const bool complete = header.find("200 OK") != std::string::npos && caller->skip(3 * LongBytes);
    BOOST_TEST((complete || Clock::now() - sentAt >= Deadline));
}

// Guards against giving the link to nobody while a response cannot be complete any more, and against one
// that keeps memory and link after its deadline.
BOOST_FIXTURE_TEST_CASE(ResponseIsSentUntilItsDeadlineAndNotLonger, Fixture)
{
    exportMs = 0;
    const auto caller = send(3 * LongBytes, Deadline);
    BOOST_REQUIRE(caller->readTo("\r\n\r\n").find("200 OK") != std::string::npos);
    // Half of what the link carries within the time.
    BOOST_TEST(caller->skip(LongBytes));
    BOOST_TEST(!caller->skip(2 * LongBytes));
    BOOST_TEST(waitUntil([this] {
        const auto &schedule = sidecar.responseSender().schedule();
        return schedule.bufferedBytes() == 0 && schedule.backlogBytes() == 0;
    }));
    BOOST_TEST(send(ShortBytes, 10 * Deadline)->receives(ShortBytes));
}

// Guards against passing on a part of a response whose target closes its connection while the response is
// buffered, and against memory that such a response keeps.
BOOST_FIXTURE_TEST_CASE(ResponseThatItsTargetCutsIsNotStarted, Fixture)
{
    exportMs = 0;
    cutsExports = true;
    BOOST_TEST(send(ShortBytes, Deadline)->readTo("\r\n\r\n").find("502 Bad Gateway") != std::string::npos);
    BOOST_TEST(waitUntil([this] {
        const auto &schedule = sidecar.responseSender().schedule();
        return schedule.bufferedBytes() == 0 && schedule.backlogBytes() == 0;
    }));
    cutsExports = false;
    BOOST_TEST(send(ShortBytes, 10 * Deadline)->receives(ShortBytes));
}
