#include "daemon/slotline.h"

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

// A target with one slot, calls of 20 ms, and a line by urgency.
struct Fixture
{
    Fixture()
    {
        CallPolicy policy;
        policy.adaptive = false;
        policy.byUrgency = true;
        line = std::make_shared<SlotLine>(context, policy);
        line->setSlots(1);
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

    void enter(SlotCall &call, FakeConnection &connection, std::optional<bool> &result)
    {
        asio::co_spawn(
            context, [&]() -> asio::awaitable<void> { result = co_await line->enter(call, connection); }, asio::detached);
    }

    // Runs what can run without waiting.
    void runReady()
    {
        context.restart();
        context.poll();
    }

    asio::io_context context{1};
    std::shared_ptr<SlotLine> line;
    FakeConnection first;
    FakeConnection second;
    std::optional<bool> firstEntered;
    std::optional<bool> secondEntered;
};

}

BOOST_FIXTURE_TEST_SUITE(slots, Fixture)

// A call that may not wait is answered at once: its ingress asks another target.
// One that may wait gets the slot when it is given back.
BOOST_AUTO_TEST_CASE(WaitsOnlyIfItMay)
{
    auto running = call(Milliseconds(30000));
    enter(running, first, firstEntered);
    runReady();
    BOOST_TEST(firstEntered.value());
    auto offered = call(Milliseconds(30000), false);
    enter(offered, second, secondEntered);
    runReady();
    BOOST_TEST(!secondEntered.value());
    auto waiting = call(Milliseconds(30000));
    std::optional<bool> waited;
    enter(waiting, second, waited);
    runReady();
    BOOST_TEST(!waited.has_value());
    BOOST_TEST(line->waiting() == 1U);
    line->leave(running, AdmissionController::End::Answered);
    runReady();
    BOOST_TEST(waited.value());
}

// The slot goes to a waiting call, and its caller closes in the same moment,
// before the call goes on. It must give the slot back all the same: each time
// that it didn't, the target would run one call less for good.
BOOST_AUTO_TEST_CASE(ACallerThatLeavesAsItsCallIsAdmittedLosesNoSlot)
{
    auto running = call(Milliseconds(30000));
    enter(running, first, firstEntered);
    auto waiting = call(Milliseconds(30000));
    enter(waiting, second, secondEntered);
    runReady();
    line->leave(running, AdmissionController::End::Answered);
    second.cancellation().cancel();
    runReady();
    BOOST_REQUIRE(secondEntered.has_value());
    if (*secondEntered) {
        line->leave(waiting, AdmissionController::End::NotSent);
    }
    BOOST_TEST(line->running() == 0U);
}

// A caller that leaves while its call waits takes it out of the line at once.
BOOST_AUTO_TEST_CASE(ACallerThatLeavesTheLineIsGone)
{
    auto running = call(Milliseconds(30000));
    enter(running, first, firstEntered);
    auto waiting = call(Milliseconds(30000));
    enter(waiting, second, secondEntered);
    runReady();
    second.cancellation().cancel();
    runReady();
    BOOST_TEST(!secondEntered.value());
    BOOST_TEST(line->waiting() == 0U);
    line->leave(running, AdmissionController::End::Answered);
    BOOST_TEST(line->running() == 0U);
}

// A call that can't be answered within its objective behind the one that runs
// is refused without waiting: another target, or its caller's next try, may
// still be in time.
BOOST_AUTO_TEST_CASE(RefusesAtOnceWhatCannotBeInTime)
{
    auto running = call(Milliseconds(30000));
    enter(running, first, firstEntered);
    runReady();
    auto urgent = call(Milliseconds(10));
    enter(urgent, second, secondEntered);
    runReady();
    BOOST_TEST(!secondEntered.value());
    auto inner = call(Milliseconds(10));
    inner.terms.forRunningCall = true;
    std::optional<bool> innerEntered;
    enter(inner, second, innerEntered);
    runReady();
    BOOST_TEST(!innerEntered.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
