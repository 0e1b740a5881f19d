#include "daemon/calls/bodyreceiver.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

// A body of which the test releases each part, or which it interrupts.
class FakeBody : public BodySource
{
public:
    explicit FakeBody(asio::io_context &context)
        : m_timer(context)
    {
    }

    asio::awaitable<ErrorCode> read(std::string &part, std::size_t limit) override
    {
        m_timer.expires_at(TimePoint::max());
        ErrorCode ignored;
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (m_interrupted) {
            co_return asio::error::eof;
        }
        part.append(limit, 'b');
        m_left -= limit;
        co_return ErrorCode();
    }

    bool done() const override
    {
        return m_left == 0;
    }

    bool readStarted() const override
    {
        return m_left < Length;
    }

    std::optional<std::uint64_t> length() const override
    {
        return Length;
    }

    void arrive()
    {
        m_timer.cancel();
    }

    void interrupt()
    {
        m_interrupted = true;
        m_timer.cancel();
    }

    static constexpr std::uint64_t Length = 60000;

private:
    asio::steady_timer m_timer;
    std::uint64_t m_left = Length;
    bool m_interrupted = false;
};

class FakeConnection : public ServerConnection
{
public:
    explicit FakeConnection(asio::io_context &context)
        : body(context)
    {
    }

    bool peerClosed() override
    {
        return m_cancellation.cancelled();
    }

    std::string peerAddress() const override
    {
        return "10.0.0.1";
    }

    Cancellation &cancellation() override
    {
        return m_cancellation;
    }

    BodySource *requestBody() override
    {
        return &body;
    }

    asio::awaitable<StreamResult> sendStreamed(HttpResponse, BodySource &) override
    {
        co_return StreamResult();
    }

    FakeBody body;

private:
    Cancellation m_cancellation;
};

// One upload, from its offer to the end of its body.
struct Upload
{
    explicit Upload(asio::io_context &context)
        : connection(context)
    {
    }

    FakeConnection connection;
    HttpRequest request;
    SlotCall call;
    std::optional<BodyReceiver::ReceiveResult> result;
};

// A target with two slots behind a link of 7 Mbit/s that carries one body at a time.
struct Fixture
{
    Fixture()
        : slots(std::make_shared<SlotQueue>(context, policy()))
        , receiver(context, {.bytesPerSecond = 875000, .maxTransfers = 1, .bodyFraction = 1}, *slots)
    {
        slots->setSlots(2);
    }

    static CallPolicy policy()
    {
        CallPolicy policy;
        policy.adaptive = false;
        policy.byUrgency = true;
        return policy;
    }

    std::unique_ptr<Upload> offer(Milliseconds objective, bool mayWait = true)
    {
        auto upload = std::make_unique<Upload>(context);
        auto &call = upload->call;
        call.route = RouteName("upload");
        call.arrived = Clock::now();
        call.deadline = call.arrived + Milliseconds(60000);
        call.objective = call.arrived + objective;
        call.terms.mayWait = mayWait;
        asio::co_spawn(
            context,
            [this, &it = *upload]() -> asio::awaitable<void> { it.result = co_await receiver.receive(it.request, it.call, it.connection); },
            asio::detached);
        runReady();
        return upload;
    }

    // Runs all handlers that are ready.
    void runReady()
    {
        context.restart();
        context.poll();
    }

    asio::io_context context{1};
    std::shared_ptr<SlotQueue> slots;
    BodyReceiver receiver;
};

}

BOOST_FIXTURE_TEST_SUITE(bodyreceiver, Fixture)

// The link carries one upload at a time: the second starts once the first is complete, and one that
// may not wait is rejected meanwhile.
BOOST_AUTO_TEST_CASE(OneBodyAfterTheOther)
{
    const auto first = offer(Milliseconds(30000));
    const auto second = offer(Milliseconds(30000));
    const auto third = offer(Milliseconds(30000), false);
    BOOST_REQUIRE(third->result.has_value());
    BOOST_TEST((third->result->status == BodyReceiver::Status::Rejected));
    first->connection.body.arrive();
    runReady();
    BOOST_REQUIRE(first->result.has_value());
    BOOST_TEST((first->result->status == BodyReceiver::Status::Complete));
    BOOST_TEST(first->request.body().size() == FakeBody::Length);
    BOOST_TEST(!second->result.has_value());
    second->connection.body.arrive();
    runReady();
    BOOST_REQUIRE(second->result.has_value());
    BOOST_TEST((second->result->status == BodyReceiver::Status::Complete));
}

// An ingress dies while it sends a body. The next body can start.
BOOST_AUTO_TEST_CASE(AnInterruptedBodyFreesTheLink)
{
    const auto first = offer(Milliseconds(30000));
    const auto second = offer(Milliseconds(30000));
    first->connection.body.interrupt();
    runReady();
    BOOST_REQUIRE(first->result.has_value());
    BOOST_TEST((first->result->status == BodyReceiver::Status::Interrupted));
    second->connection.body.arrive();
    runReady();
    BOOST_TEST((second->result.value().status == BodyReceiver::Status::Complete));
}

// A caller disconnects while its upload waits for the link. No part of the body is ever read.
BOOST_AUTO_TEST_CASE(ACancelledUploadLeavesTheQueue)
{
    const auto first = offer(Milliseconds(30000));
    const auto second = offer(Milliseconds(30000));
    second->connection.cancellation().cancel();
    runReady();
    BOOST_REQUIRE(second->result.has_value());
    BOOST_TEST((second->result->status == BodyReceiver::Status::Rejected));
    first->connection.body.arrive();
    runReady();
    BOOST_TEST(!second->connection.body.readStarted());
}

// After a restart of the fleet, all calls of the target have taken longer than an upload's objective.
// While slots and link are free, uploads are accepted nevertheless: otherwise no response would ever
// show that the target is fast again. While the link is in use, they are rejected at once.
BOOST_AUTO_TEST_CASE(AnIdleTargetAcceptsUploadsExpectedToBeLate)
{
    const auto first = offer(Milliseconds(5));
    BOOST_TEST(!first->result.has_value());
    const auto second = offer(Milliseconds(5));
    BOOST_REQUIRE(second->result.has_value());
    BOOST_TEST((second->result->status == BodyReceiver::Status::Rejected));
    first->connection.body.arrive();
    runReady();
    BOOST_TEST((first->result.value().status == BodyReceiver::Status::Complete));
}

// The target starts draining while an upload waits for the link.
BOOST_AUTO_TEST_CASE(WaitingUploadsAreRejectedWhenTheTargetDrains)
{
    const auto first = offer(Milliseconds(30000));
    const auto second = offer(Milliseconds(30000));
    receiver.rejectWaiting();
    runReady();
    BOOST_REQUIRE(second->result.has_value());
    BOOST_TEST((second->result->status == BodyReceiver::Status::Rejected));
    BOOST_TEST(!first->result.has_value());
    first->connection.body.interrupt();
    runReady();
}

BOOST_AUTO_TEST_SUITE_END()
