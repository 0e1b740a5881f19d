#include "repeatedbody.h"
#include "slowtargetfixture.h"

#include <boost/test/data/test_case.hpp>

using namespace Galenahill;
using namespace Galenahill::Test;

namespace {

// Longer than what an ingress reads before it passes on a response.
constexpr std::size_t LongBytes = 300 * 1024;

struct Fixture : SlowTargetFixture
{
    std::atomic<int> cancelledReplacements = 0;
    std::atomic<bool> stopsWhenOffered = false;

    Fixture()
        : SlowTargetFixture(testAddress(41))
    {
    }

    // What the other target does with a replacement: takes that time, and gives that response.
    void setOther(Milliseconds time, const Handler &respond)
    {
        onDataThread([&] { otherHandler = [this, time, respond](ServerConnection &connection) { return serveReplacement(connection, time, respond); }; });
        setMembers({member("slow", slowEndpoint), member("other", otherEndpoint)});
    }

    asio::awaitable<HttpResponse> serveReplacement(ServerConnection &connection, Milliseconds time, Handler respond)
    {
        if (stopsWhenOffered) {
            ingress.prepareToStop(TimePoint::max());
        }
        co_await work(connection, time);
        cancelledReplacements += connection.cancellation().cancelled() ? 1 : 0;
        co_return co_await respond(connection);
    }

    static Handler responding(http::status status, const std::string &body)
    {
        return [status, body](ServerConnection &) -> asio::awaitable<HttpResponse> { co_return makeResponse(status, "text/plain", body); };
    }

    static Handler withUnknownOutcome()
    {
        return [](ServerConnection &) -> asio::awaitable<HttpResponse> {
            co_return outcomeUnknownResponse("the target closed the connection", http::status::bad_gateway);
        };
    }

    static Handler streaming(char character, bool isCutOff = false)
    {
        return [character, isCutOff](ServerConnection &connection) -> asio::awaitable<HttpResponse> {
            RepeatedBody body(character, LongBytes, isCutOff);
            co_await connection.sendStreamed(makeResponse(http::status::ok, "text/plain", ""), body);
            co_return makeResponse(http::status::ok, "text/plain", "");
        };
    }

    // Sends calls until the slow target has one, and returns the response to that.
    std::string callSlowTarget()
    {
        std::string response;
        for (int i = 0; i < MaxCalls && slowCalls == 0; ++i) {
            response = call();
        }
        BOOST_TEST(slowCalls == 1);
        return response;
    }

    // Whether the counter reaches one, and stays there.
    static bool becomesOne(const std::atomic<int> &counter)
    {
        const auto end = Clock::now() + TestTimeout;
        while (counter == 0 && Clock::now() < end) {
            std::this_thread::sleep_for(Milliseconds(5));
        }
        return counter == 1;
    }

    static bool isComplete(const std::string &response, char character)
    {
        return response.find("200 OK") != std::string::npos && response.size() > LongBytes
            && response.substr(response.find("\r\n\r\n") + 4) == std::string(LongBytes, character);
    }
};

// The stop of the node begins once the replacement has reached its target.
const auto Stops = {false, true};

}

BOOST_FIXTURE_TEST_SUITE(attemptreplacement, Fixture)

// Guards against cancelling an attempt for a retry that no target accepts: the caller gets 502 for work
// that was under way.
BOOST_AUTO_TEST_CASE(KeepsTheAttemptIfItsRetryIsRejected)
{
    otherFillsUp = true;
    setMembers({member("slow", slowEndpoint), member("other", otherEndpoint)});
    std::string response;
    for (int i = 0; i < MaxCalls && slowCalls == 0; ++i) {
        response = call();
    }
    BOOST_TEST(slowCalls == 1);
    BOOST_TEST(response.find("200 OK") != std::string::npos);
    BOOST_TEST(response.find("slow;") != std::string::npos);
    BOOST_TEST(cancelledAttempts == 0);
    BOOST_TEST(ingress.replacementsRejected() == 1U);
    BOOST_TEST(ingress.retries() == 0U);
}

// Guards against giving up the attempt for a target that accepts the call and then fails.
BOOST_DATA_TEST_CASE(KeepsTheAttemptIfItsReplacementFails, boost::unit_test::data::make(Stops), stops)
{
    stopsWhenOffered = stops;
    setOther(Milliseconds(50), responding(http::status::service_unavailable, "failed"));
    const auto response = callSlowTarget();
    BOOST_TEST(response.find("200 OK") != std::string::npos);
    BOOST_TEST(response.find("slow;") != std::string::npos);
    BOOST_TEST(cancelledAttempts == 0);
    BOOST_TEST(ingress.retries() == 1U);
    BOOST_TEST(ingress.replacementsUnused() == 1U);
}

// Guards against giving up the attempt for a target that accepts the call and then closes its connection.
BOOST_DATA_TEST_CASE(KeepsTheAttemptIfTheReplacementsConnectionCloses, boost::unit_test::data::make(Stops), stops)
{
    stopsWhenOffered = stops;
    setOther(Milliseconds(50), streaming('o', true));
    const auto response = callSlowTarget();
    BOOST_TEST(response.find("200 OK") != std::string::npos);
    BOOST_TEST(response.find("slow;") != std::string::npos);
    BOOST_TEST(cancelledAttempts == 0);
}

// Guards against an attempt that goes on after its replacement has responded, and against two responses.
BOOST_DATA_TEST_CASE(CancelsTheAttemptOnceItsReplacementHasResponded, boost::unit_test::data::make(Stops), stops)
{
    stopsWhenOffered = stops;
    slowTime = 1150;
    setOther(Milliseconds(50), responding(http::status::ok, "other;"));
    const auto response = callSlowTarget();
    BOOST_TEST(response.find("other;") != std::string::npos);
    BOOST_TEST(response.find("slow;") == std::string::npos);
    BOOST_TEST(response.find("HTTP/1.1") == response.rfind("HTTP/1.1"));
    BOOST_TEST(becomesCancelled());
    BOOST_TEST(cancelledReplacements == 0);
    BOOST_TEST(ingress.attemptsReplaced() == 1U);
    BOOST_TEST(ingress.retries() == 1U);
}

// Guards against a replacement that goes on after the first attempt has been answered.
BOOST_DATA_TEST_CASE(CancelsTheReplacementOnceTheAttemptIsAnswered, boost::unit_test::data::make(Stops), stops)
{
    stopsWhenOffered = stops;
    setOther(Milliseconds(500), responding(http::status::ok, "other;"));
    const auto response = callSlowTarget();
    BOOST_TEST(response.find("slow;") != std::string::npos);
    BOOST_TEST(response.find("other;") == std::string::npos);
    BOOST_TEST(becomesOne(cancelledReplacements));
    BOOST_TEST(cancelledAttempts == 0);
    BOOST_TEST(ingress.attemptsReplaced() == 0U);
    BOOST_TEST(ingress.replacementsUnused() == 1U);
}

// Guards against waiting no longer for a replacement after the first attempt has failed.
BOOST_DATA_TEST_CASE(WaitsForTheReplacementIfTheAttemptFails, boost::unit_test::data::make(Stops), stops)
{
    stopsWhenOffered = stops;
    onDataThread([&] { slowResponse = withUnknownOutcome(); });
    setOther(Milliseconds(400), responding(http::status::ok, "other;"));
    const auto response = callSlowTarget();
    BOOST_TEST(response.find("200 OK") != std::string::npos);
    BOOST_TEST(response.find("other;") != std::string::npos);
    BOOST_TEST(cancelledReplacements == 0);
}

// Guards against hiding a target's own error behind an unknown outcome, and against a third target.
BOOST_DATA_TEST_CASE(TellsTheTargetsErrorIfBothFail, boost::unit_test::data::make(Stops), stops)
{
    stopsWhenOffered = stops;
    onDataThread([&] { slowResponse = withUnknownOutcome(); });
    setOther(Milliseconds(50), responding(http::status::service_unavailable, "failed"));
    const auto response = callSlowTarget();
    BOOST_TEST(response.find("503") != std::string::npos);
    BOOST_TEST(response.find("failed") != std::string::npos);
    BOOST_TEST(ingress.retries() == 1U);
}

// Guards against rejected replacements that use up the retries of a call, or keep their target from them.
BOOST_AUTO_TEST_CASE(RetriesABrokenAttemptAfterRejectedReplacements)
{
    std::atomic<bool> broken = false;
    onDataThread([&] {
        slowResponse = [&broken](ServerConnection &connection) {
            broken = true;
            return withUnknownOutcome()(connection);
        };
    });
    // Reports free slots, so that it is offered further replacements.
    setOther(Milliseconds(0), [&broken](ServerConnection &) -> asio::awaitable<HttpResponse> {
        auto rejected = notRunResponse(http::status::service_unavailable, "refused", "full");
        rejected.set(CallHeaders::Load, formatLoad({0, 9}));
        co_return broken ? makeResponse(http::status::ok, "text/plain", "other;") : rejected;
    });
    const auto response = callSlowTarget();
    BOOST_TEST(response.find("200 OK") != std::string::npos);
    BOOST_TEST(response.find("other;") != std::string::npos);
    // More than the offers that a call's retries get.
    BOOST_TEST(ingress.replacementsRejected() > 2U);
    BOOST_TEST(ingress.attemptsReplaced() == 0U);
    BOOST_TEST(ingress.retries() == 1U);
}

// Guards against replacements beyond the retry budget, and against cancelling an attempt without one.
BOOST_AUTO_TEST_CASE(OffersNothingWithoutRetryBudget)
{
    onDataThread([this] { ingress.setRetryBudget({.retriesPerCall = 0, .slack = 0}); });
    std::atomic<int> offered = 0;
    setOther(Milliseconds(0), [&offered](ServerConnection &) -> asio::awaitable<HttpResponse> {
        ++offered;
        co_return makeResponse(http::status::ok, "text/plain", "other;");
    });
    BOOST_TEST(callSlowTarget().find("slow;") != std::string::npos);
    BOOST_TEST(offered == 0);
    BOOST_TEST(cancelledAttempts == 0);
}

// Guards against attempts that go on after their caller has left.
BOOST_DATA_TEST_CASE(CancelsBothOnceTheCallerLeaves, boost::unit_test::data::make(Stops), stops)
{
    stopsWhenOffered = stops;
    slowTime = TestTimeout.count();
    std::promise<void> offered;
    setOther(Milliseconds(0), [&](ServerConnection &connection) -> asio::awaitable<HttpResponse> {
        offered.set_value();
        co_await work(connection, TestTimeout);
        cancelledReplacements += connection.cancellation().cancelled() ? 1 : 0;
        co_return makeResponse(http::status::ok, "text/plain", "other;");
    });
    RawClient caller(ingressEndpoint);
    for (int i = 0; i < MaxCalls && slowCalls == 0; ++i) {
        caller.send("GET /cola/1 HTTP/1.1\r\nHost: h\r\n\r\n");
        std::this_thread::sleep_for(Milliseconds(50));
    }
    BOOST_REQUIRE((offered.get_future().wait_for(TestTimeout) == std::future_status::ready));
    const auto left = Clock::now();
    caller.close();
    BOOST_TEST(becomesOne(cancelledAttempts));
    BOOST_TEST(becomesOne(cancelledReplacements));
    // Both were cancelled by the caller, and not by the deadline, half of the timeout later.
    BOOST_TEST((Clock::now() - left < Milliseconds(400)));
}

// Guards against use of the call's state by an attempt that is destroyed later than the call.
BOOST_AUTO_TEST_CASE(BothAreDestroyedWithTheContext)
{
    slowTime = TestTimeout.count();
    std::promise<void> offered;
    setOther(Milliseconds(0), [&](ServerConnection &connection) -> asio::awaitable<HttpResponse> {
        offered.set_value();
        co_await work(connection, TestTimeout);
        co_return makeResponse(http::status::ok, "text/plain", "other;");
    });
    RawClient caller(ingressEndpoint);
    for (int i = 0; i < MaxCalls && slowCalls == 0; ++i) {
        caller.send("GET /cola/1 HTTP/1.1\r\nHost: h\r\n\r\n");
        std::this_thread::sleep_for(Milliseconds(50));
    }
    BOOST_REQUIRE((offered.get_future().wait_for(TestTimeout) == std::future_status::ready));
    context.stop();
}

// Guards against attempts that go on after the call's deadline.
BOOST_DATA_TEST_CASE(TheDeadlineEndsBoth, boost::unit_test::data::make(Stops), stops)
{
    stopsWhenOffered = stops;
    slowTime = TestTimeout.count();
    setOther(TestTimeout, responding(http::status::ok, "other;"));
    BOOST_TEST(callSlowTarget().find("504") != std::string::npos);
    BOOST_TEST(becomesCancelled());
    BOOST_TEST(becomesOne(cancelledReplacements));
}

// Guards against a streamed response that mixes with the one of the replaced attempt.
BOOST_DATA_TEST_CASE(AReplacementStreamsItsResponse, boost::unit_test::data::make(Stops), stops)
{
    stopsWhenOffered = stops;
    onDataThread([&] { slowResponse = streaming('s'); });
    setOther(Milliseconds(50), streaming('o'));
    BOOST_TEST(isComplete(callSlowTarget(), 'o'));
    BOOST_TEST(becomesCancelled());
}

// Guards against a streamed response that mixes with the one of the replacement.
BOOST_DATA_TEST_CASE(TheFirstAttemptStreamsItsResponse, boost::unit_test::data::make(Stops), stops)
{
    stopsWhenOffered = stops;
    onDataThread([&] { slowResponse = streaming('s'); });
    setOther(Milliseconds(500), streaming('o'));
    BOOST_TEST(isComplete(callSlowTarget(), 's'));
    BOOST_TEST(becomesOne(cancelledReplacements));
    BOOST_TEST(cancelledAttempts == 0);
}

// Guards against the same if the slow target is the one beside the ingress, which streams to the caller
// itself.
BOOST_AUTO_TEST_CASE(TheLocalTargetStreamsItsResponse)
{
    onDataThread([this] {
        slowResponse = streaming('s');
        localHandler = [this](ServerConnection &connection) { return serveSlowly(connection); };
    });
    setOther(Milliseconds(500), streaming('o'));
    setMembers({member("local", localEndpoint), member("other", otherEndpoint)});
    BOOST_TEST(isComplete(callSlowTarget(), 's'));
    BOOST_TEST(becomesOne(cancelledReplacements));
    BOOST_TEST(cancelledAttempts == 0);
}

// Guards against a local target that starts to stream after its replacement has responded.
BOOST_AUTO_TEST_CASE(TheReplacementOfTheLocalTargetStreamsItsResponse)
{
    onDataThread([this] {
        slowResponse = streaming('s');
        localHandler = [this](ServerConnection &connection) { return serveSlowly(connection); };
    });
    setOther(Milliseconds(50), streaming('o'));
    setMembers({member("local", localEndpoint), member("other", otherEndpoint)});
    BOOST_TEST(isComplete(callSlowTarget(), 'o'));
    BOOST_TEST(becomesCancelled());
}

// Guards against an attempt that responds after the local target, its replacement, has started to stream.
BOOST_AUTO_TEST_CASE(TheLocalTargetReplacesASlowOne)
{
    onDataThread([this] {
        slowResponse = streaming('s');
        localHandler = streaming('l');
    });
    setMembers({member("slow", slowEndpoint), member("local", localEndpoint)});
    BOOST_TEST(isComplete(callSlowTarget(), 'l'));
    BOOST_TEST(becomesCancelled());
    BOOST_TEST(ingress.attemptsReplaced() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
