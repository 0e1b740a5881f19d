#include "daemon/calls/slotqueue.h"

#include <boost/test/unit_test.hpp>
#include <thread>

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

    asio::awaitable<StreamResult> sendStreamed(HttpResponse, BodySource &) override
    {
        co_return StreamResult();
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

// Guards against calls that stay queued, until their objective has passed, for a limit that was stated
// after they had been queued.
BOOST_AUTO_TEST_CASE(ANewRateLimitRejectsQueuedCallsThatCannotBeInTime)
{
    auto running = call(Milliseconds(30000));
    acquire(running, first, firstAcquired);
    auto waiting = call(Milliseconds(30000));
    acquire(waiting, second, secondAcquired);
    runReady();
    BOOST_TEST(!secondAcquired.has_value());
    BOOST_TEST((slots->updateRateLimit(CallsPerSecond(0.01), Clock::now()) == StatedRateLimit::Change::Stated));
    runReady();
    BOOST_TEST(!secondAcquired.value());
}

// Guards against a limit that is only held, not used: the queue has to wake up when it allows a call.
BOOST_AUTO_TEST_CASE(AWaitingCallStartsWhenTheRateLimitAllowsIt)
{
    slots->setSlots(4);
    slots->updateRateLimit(CallsPerSecond(20), Clock::now());
    auto waiting = call(Milliseconds(30000));
    acquire(waiting, first, firstAcquired);
    runReady();
    BOOST_TEST(!firstAcquired.has_value());
    BOOST_TEST(slots->isRateLimited());
    const auto until = Clock::now() + std::chrono::seconds(30);
    while (!firstAcquired && Clock::now() < until) {
        context.restart();
        context.run_for(Milliseconds(5));
    }
    BOOST_TEST(firstAcquired.value());
    BOOST_TEST((Clock::now() - waiting.arrived >= Milliseconds(49)));
}

// Guards against offers that wait under a limit, and against a Retry-After that ignores it.
BOOST_AUTO_TEST_CASE(ARateLimitRejectsOffersAtOnceWithItsWait)
{
    slots->setSlots(4);
    slots->updateRateLimit(CallsPerSecond(0.5), Clock::now());
    auto offered = call(Milliseconds(30000), false);
    acquire(offered, first, firstAcquired);
    runReady();
    BOOST_TEST(!firstAcquired.value());
    BOOST_TEST(slots->freeSlots() == 0U);
    BOOST_TEST((slots->costOf(offered) > Milliseconds(1500)));
    BOOST_TEST((slots->costOf(offered) <= Milliseconds(2000)));
    // Guards against one limited target that makes its whole data centre seem full.
    BOOST_TEST((slots->expectedWait() == Milliseconds(250)));
    // A large body, once received, would wait here and not go to another target.
    const auto upload = call(Milliseconds(500));
    BOOST_TEST(!slots->canMeetObjective(upload, Clock::now()));
}

// Guards against calls that stay queued after the limit that held them back.
BOOST_AUTO_TEST_CASE(ALiftedRateLimitAdmitsWaitingCalls)
{
    slots->setSlots(4);
    slots->updateRateLimit(CallsPerSecond(0.1), Clock::now());
    auto waiting = call(Milliseconds(30000));
    acquire(waiting, first, firstAcquired);
    runReady();
    BOOST_TEST(!firstAcquired.has_value());
    BOOST_TEST((slots->updateRateLimit(std::nullopt, Clock::now()) == StatedRateLimit::Change::Lifted));
    runReady();
    BOOST_TEST(firstAcquired.value());
    BOOST_TEST(slots->freeSlots() == 3U);
}

// A returning call is queued ahead of a new one that arrived before it, and it is not rejected where a new
// one would wait although its own objective leaves no time to.
BOOST_AUTO_TEST_CASE(AReturningCallGoesAheadOfNewCalls)
{
    // The answered call sets the service time; before, calls are assumed to take a third of their objective.
    auto answered = call(Milliseconds(30000));
    std::optional<bool> answeredAcquired;
    acquire(answered, first, answeredAcquired);
    runReady();
    slots->release(answered, AdmissionController::ReleaseReason::Answered);
    auto running = call(Milliseconds(30000));
    acquire(running, first, firstAcquired);
    runReady();
    auto fresh = call(Milliseconds(30000));
    acquire(fresh, first, secondAcquired);
    runReady();
    auto returning = call(Milliseconds(10));
    returning.terms.waitedBefore = Milliseconds(30000);
    std::optional<bool> returningAcquired;
    acquire(returning, second, returningAcquired);
    runReady();
    BOOST_TEST(!returningAcquired.has_value());
    slots->release(running, AdmissionController::ReleaseReason::Answered);
    runReady();
    BOOST_TEST(returningAcquired.value());
    BOOST_TEST(!secondAcquired.has_value());
}

// Twelve slots, lookups that end within milliseconds and searches that hold their slots: a nested call gets a
// reserved slot at once although a search queues, and neither an offer nor the reported load tells
// ingresses of that slot. Guards against lookups that wait for searches to end.
BOOST_AUTO_TEST_CASE(NestedCallsFindAReservedSlotWhileSearchesQueue)
{
    constexpr std::uint32_t Slots = 12;
    slots->setSlots(Slots);
    const auto acquireNow = [this](SlotCall &call) {
        std::optional<bool> acquired;
        acquire(call, first, acquired);
        runReady();
        return acquired;
    };
    const auto nestedCall = [] {
        auto nested = call(Milliseconds(30000));
        nested.terms.hasRunningParent = true;
        return nested;
    };
    auto search = call(Milliseconds(30000));
    search.route = RouteName("search");
    BOOST_TEST(acquireNow(search).value());
    std::vector<SlotCall> lookups(Slots - 1, nestedCall());
    // Long enough for a load that keeps the whole reserve in force through a pause of this process of a second.
    const auto until = Clock::now() + Milliseconds(1500);
    while (Clock::now() < until) {
        for (auto &lookup : lookups) {
            BOOST_TEST(acquireNow(lookup).value());
        }
        std::this_thread::sleep_for(Milliseconds(10));
        for (auto &lookup : lookups) {
            slots->release(lookup, AdmissionController::ReleaseReason::Answered);
        }
    }
    BOOST_TEST(slots->reservedSlots() == 0U);
    slots->release(search, AdmissionController::ReleaseReason::Answered);
    BOOST_TEST(slots->reservedSlots() == 4U);
    std::vector<SlotCall> searches(Slots - 4, search);
    for (auto &running : searches) {
        BOOST_TEST(acquireNow(running).value());
    }
    BOOST_TEST(slots->freeSlots() == 0U);
    BOOST_TEST(slots->withheldSlots() == 4U);
    BOOST_TEST(!slots->isRateLimited());
    BOOST_TEST((slots->expectedWait() > Milliseconds(0)));
    auto offered = search;
    offered.terms.mayWait = false;
    BOOST_TEST(!acquireNow(offered).value());
    auto waiting = search;
    acquire(waiting, second, secondAcquired);
    runReady();
    BOOST_TEST(!secondAcquired.has_value());
    auto nested = nestedCall();
    nested.terms.mayWait = false;
    BOOST_TEST(acquireNow(nested).value());
    slots->release(nested, AdmissionController::ReleaseReason::Answered);
    runReady();
    BOOST_TEST(!secondAcquired.has_value());
    slots->release(searches.front(), AdmissionController::ReleaseReason::Answered);
    runReady();
    BOOST_TEST(secondAcquired.value());
}

// The target is short of slots, and one customer has used all of them. Guards against a share that is
// calculated but not used: the slot that it releases goes to the other customer, whose call came later
// and can wait longer.
BOOST_AUTO_TEST_CASE(AFreedSlotGoesToACustomerWithinItsShare)
{
    const auto callOf = [](const char *customer, Milliseconds objective) {
        auto made = call(objective);
        made.customer = IdentifiedCustomer{.name = CustomerName(customer)};
        return made;
    };
    slots->setSlots(2);
    auto running = callOf("sur", Milliseconds(30000));
    auto other = callOf("sur", Milliseconds(30000));
    acquire(running, first, firstAcquired);
    acquire(other, second, secondAcquired);
    runReady();
    BOOST_REQUIRE(firstAcquired.value());
    BOOST_REQUIRE(secondAcquired.value());
    BOOST_TEST(slots->excessOf(running).count() == 0);
    auto hopeless = callOf("norte", Milliseconds(1));
    std::optional<bool> rejected;
    acquire(hopeless, first, rejected);
    runReady();
    BOOST_TEST(!rejected.value());
    BOOST_TEST(slots->excessOf(running).count() > 0);
    BOOST_TEST(slots->excessOf(hopeless).count() == 0);
    BOOST_TEST(slots->customersAboveShare() == 1U);
    auto ofSur = callOf("sur", Milliseconds(30000));
    auto ofNorte = callOf("norte", Milliseconds(40000));
    std::optional<bool> surAcquired;
    std::optional<bool> norteAcquired;
    FakeConnection third;
    FakeConnection fourth;
    acquire(ofSur, third, surAcquired);
    acquire(ofNorte, fourth, norteAcquired);
    runReady();
    BOOST_REQUIRE(slots->waiting() == 2U);
    // The level of the shares is calculated at intervals.
    std::this_thread::sleep_for(Milliseconds(30));
    slots->release(running, AdmissionController::ReleaseReason::Answered);
    runReady();
    BOOST_TEST(norteAcquired.value_or(false));
    BOOST_TEST(!surAcquired.has_value());
    slots->rejectWaiting();
    runReady();
    BOOST_TEST(!surAcquired.value());
    BOOST_TEST(slots->rejectedAboveShare() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
