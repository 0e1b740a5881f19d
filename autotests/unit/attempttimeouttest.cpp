#include "slowtargetfixture.h"

using namespace Galenahill;
using namespace Galenahill::Test;

namespace {

constexpr int FailuresToEject = 3;
// Few enough to take less than the first ejection.
constexpr int CallsWhileEjected = 20;

struct Fixture : SlowTargetFixture
{
    Fixture()
        : SlowTargetFixture(testAddress(9))
    {
    }

    // Sends calls until the slow target has one.
    void callSlowTarget()
    {
        for (int i = 0; i < MaxCalls && slowCalls == 0; ++i) {
            BOOST_TEST(call().find("200 OK") != std::string::npos);
        }
        BOOST_TEST(slowCalls == 1);
    }
};

}

BOOST_FIXTURE_TEST_SUITE(attempttimeout, Fixture)

// Guards against an ingress that cancels an attempt at a slow target after half of the timeout though
// no other target accepts the call. The caller then gets an error instead of a late response, and the
// target's work is lost.
BOOST_AUTO_TEST_CASE(KeepsWaitingIfNoOtherTargetHasAFreeSlot)
{
    fillOther();
    const auto response = call();
    BOOST_TEST(response.find("200 OK") != std::string::npos);
    BOOST_TEST(response.find("slow;") != std::string::npos);
    BOOST_TEST(cancelledAttempts == 0);
}

// A target is slow and another one has a free slot: the replacement at the other target is answered in
// less time than the slow target needs, and the attempt is cancelled then.
BOOST_AUTO_TEST_CASE(RetriesAtAnotherTargetWithAFreeSlot)
{
    setMembers({member("slow", slowEndpoint), member("other", otherEndpoint)});
    for (int i = 0; i < MaxCalls && slowCalls == 0; ++i) {
        BOOST_TEST(call().find("other;") != std::string::npos);
    }
    BOOST_TEST(slowCalls == 1);
    BOOST_TEST(becomesCancelled());
}

// The node is stopping while a target is slow. The response that is on its way is waited for, even if
// another target has a free slot.
BOOST_AUTO_TEST_CASE(AStoppingNodeCancelsNoAttempt)
{
    setMembers({member("slow", slowEndpoint), member("other", otherEndpoint)});
    onDataThread([this] { ingress.prepareToStop(TimePoint::max()); });
    for (int i = 0; i < MaxCalls && slowCalls == 0; ++i) {
        BOOST_TEST(call().find("200 OK") != std::string::npos);
    }
    BOOST_TEST(slowCalls == 1);
    BOOST_TEST(cancelledAttempts == 0);
}

// Guards against logging the cancellation of a replaced attempt as the reason of a call that was answered.
BOOST_AUTO_TEST_CASE(ReportsNoReasonOfAReplacedAttempt)
{
    setMembers({member("slow", slowEndpoint), member("other", otherEndpoint)});
    callSlowTarget();
    BOOST_TEST(becomesCancelled());
    const auto report = lastReport();
    BOOST_TEST(report.replacedAttempts == 1U);
    BOOST_TEST((report.result == CallResult::Answered));
    BOOST_TEST(report.reason == "");
}

// Guards against logging the rejection of a replacement as the reason of a call that the first attempt
// answered.
BOOST_AUTO_TEST_CASE(ReportsNoReasonOfARejectedReplacement)
{
    otherFillsUp = true;
    setMembers({member("slow", slowEndpoint), member("other", otherEndpoint)});
    callSlowTarget();
    const auto report = lastReport();
    BOOST_TEST(report.rejectedReplacements == 1U);
    BOOST_TEST((report.result == CallResult::Answered));
    BOOST_TEST(report.reason == "");
}

// Guards against a response that is held back by the connection attempt of its replacement.
BOOST_AUTO_TEST_CASE(ACancelledConnectionAttemptHoldsBackNoResponse)
{
    // The first connection fills the backlog, and further ones get no answer of the kernel.
    const Endpoint silentEndpoint{ingressEndpoint.address, 8084};
    asio::io_context silentContext;
    Tcp::acceptor acceptor(silentContext);
    const Tcp::endpoint address(asio::ip::make_address(silentEndpoint.address), silentEndpoint.port);
    acceptor.open(address.protocol());
    acceptor.set_option(Tcp::acceptor::reuse_address(true));
    acceptor.bind(address);
    acceptor.listen(0);
    Tcp::socket first(silentContext);
    first.connect(address);
    routeTimeout = Milliseconds(8000);
    setMembers({member("slow", slowEndpoint), member("silent", silentEndpoint)});
    std::promise<TimePoint> responds;
    onDataThread([&] {
        slowTime = 4500;
        slowResponse = [&responds](ServerConnection &) -> asio::awaitable<HttpResponse> {
            responds.set_value(Clock::now());
            co_return makeResponse(http::status::ok, "text/plain", "slow;");
        };
        // The slow target is the less loaded one.
        ingress.targetLoadReceived(NodeName("silent"), {8, 9}, Milliseconds(0), Clock::now());
    });
    BOOST_TEST(call().find("slow;") != std::string::npos);
    // The connection attempt goes on until the deadline, 3.5 s after the response.
    BOOST_TEST((Clock::now() - responds.get_future().get() < Milliseconds(2500)));
    BOOST_TEST(lastReport().rejectedReplacements == 1U);
}

// Guards against an attempt for which the call has no time left: its target would run it for nobody.
BOOST_AUTO_TEST_CASE(MakesNoAttemptWithoutTimeLeft)
{
    RawClient caller(ingressEndpoint);
    caller.send(std::string("GET /cola/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n") + CallHeaders::TimeoutMs + ": 0\r\n\r\n");
    const auto response = caller.readToEnd().value_or("");
    BOOST_TEST(response.find("503") != std::string::npos);
    BOOST_TEST(response.find(std::string(CallHeaders::Outcome) + ": " + std::string(CallHeaders::NotRun)) != std::string::npos);
    BOOST_TEST(slowCalls == 0);
    BOOST_TEST(lastReport().attemptsSent == 0U);
    BOOST_TEST(lastReport().target == NodeName("slow"));
}

// Guards against a target that hangs and keeps getting calls since other targets respond in its stead: each
// of them loses half of its time.
BOOST_AUTO_TEST_CASE(EjectsATargetWhoseAttemptsAreReplaced)
{
    slowTime = TestTimeout.count();
    setMembers({member("slow", slowEndpoint), member("other", otherEndpoint)});
    for (int i = 0; i < MaxCalls && slowCalls < FailuresToEject; ++i) {
        BOOST_TEST(call().find("other;") != std::string::npos);
    }
    BOOST_TEST(slowCalls == FailuresToEject);
    for (int i = 0; i < CallsWhileEjected; ++i) {
        BOOST_TEST(call().find("other;") != std::string::npos);
    }
    BOOST_TEST(slowCalls == FailuresToEject);
}

BOOST_AUTO_TEST_SUITE_END()
