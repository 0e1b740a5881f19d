#include "daemon/slotqueue.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

class FakeConnection : public ServerConnection
{
public:
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
        return nullptr;
    }

    asio::awaitable<void> sendStreamed(HttpResponse, BodySource &) override
    {
        co_return;
    }

private:
    Cancellation m_cancellation;
};

// A target with one slot and a queue that is ordered by urgency.
struct Fixture
{
    Fixture()
    {
        CallPolicy policy;
        policy.adaptive = false;
        policy.byUrgency = true;
        slots = std::make_shared<SlotQueue>(context, policy);
        slots->setSlots(1);
    }

    static SlotCall call(Milliseconds objective, bool mayWait = true)
    {
        SlotCall call;
        call.route = RouteName("lookup");
        call.arrived = Clock::now();
        call.deadline = call.arrived + Milliseconds(60000);
        call.objective = call.arrived + objective;
        call.terms.mayWait = mayWait;
        return call;
    }

    void acquire(SlotCall &call, FakeConnection &connection, std::optional<bool> &result)
    {
        asio::co_spawn(
            context, [&]() -> asio::awaitable<void> { result = co_await slots->acquire(call, connection); }, asio::detached);
    }

    // Runs all handlers that are ready.
    void runReady()
    {
        context.restart();
        context.poll();
    }

    asio::io_context context{1};
    std::shared_ptr<SlotQueue> slots;
    FakeConnection first;
    FakeConnection second;
    std::optional<bool> firstAcquired;
    std::optional<bool> secondAcquired;
};

}

BOOST_FIXTURE_TEST_SUITE(slotqueue, Fixture)

// A call that may not wait is rejected at once, so that its ingress can offer it to another target. One
// that may wait gets the slot when it is released.
BOOST_AUTO_TEST_CASE(OnlyCallsThatMayWaitAreQueued)
{
    auto running = call(Milliseconds(30000));
    acquire(running, first, firstAcquired);
    runReady();
    BOOST_TEST(firstAcquired.value());
    auto offered = call(Milliseconds(30000), false);
    acquire(offered, second, secondAcquired);
    runReady();
    BOOST_TEST(!secondAcquired.value());
    auto waiting = call(Milliseconds(30000));
    std::optional<bool> waited;
    acquire(waiting, second, waited);
    runReady();
    BOOST_TEST(!waited.has_value());
    BOOST_TEST(slots->waiting() == 1U);
    slots->release(running, AdmissionController::ReleaseReason::Answered);
    runReady();
    BOOST_TEST(waited.value());
}

// A waiting call gets the slot, and its caller disconnects before the call resumes. The slot must still
// be released: each slot that leaks reduces the target's concurrency for good.
BOOST_AUTO_TEST_CASE(CancellingACallAsItIsAdmittedLeaksNoSlot)
{
    auto running = call(Milliseconds(30000));
    acquire(running, first, firstAcquired);
    auto waiting = call(Milliseconds(30000));
    acquire(waiting, second, secondAcquired);
    runReady();
    slots->release(running, AdmissionController::ReleaseReason::Answered);
    second.cancellation().cancel();
    runReady();
    BOOST_REQUIRE(secondAcquired.has_value());
    if (*secondAcquired) {
        slots->release(waiting, AdmissionController::ReleaseReason::NotSent);
    }
    BOOST_TEST(slots->running() == 0U);
}

// A waiting call whose caller disconnects leaves the queue at once.
BOOST_AUTO_TEST_CASE(ACancelledCallLeavesTheQueue)
{
    auto running = call(Milliseconds(30000));
    acquire(running, first, firstAcquired);
    auto waiting = call(Milliseconds(30000));
    acquire(waiting, second, secondAcquired);
    runReady();
    second.cancellation().cancel();
    runReady();
    BOOST_TEST(!secondAcquired.value());
    BOOST_TEST(slots->waiting() == 0U);
    slots->release(running, AdmissionController::ReleaseReason::Answered);
    BOOST_TEST(slots->running() == 0U);
}

// A call that cannot be answered within its objective after the running one is rejected without
// waiting: another target, or its caller's next attempt, may still be in time. A nested call waits
// nevertheless.
BOOST_AUTO_TEST_CASE(RejectsAtOnceCallsThatCannotBeInTime)
{
    auto running = call(Milliseconds(30000));
    acquire(running, first, firstAcquired);
    runReady();
    auto urgent = call(Milliseconds(10));
    acquire(urgent, second, secondAcquired);
    runReady();
    BOOST_TEST(!secondAcquired.value());
    auto nested = call(Milliseconds(10));
    nested.terms.hasRunningParent = true;
    std::optional<bool> nestedAcquired;
    acquire(nested, second, nestedAcquired);
    runReady();
    BOOST_TEST(!nestedAcquired.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
