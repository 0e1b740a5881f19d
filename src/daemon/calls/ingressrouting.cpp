#include "daemon/calls/ingress_p.h"

#include "daemon/calls/callmessages.h"

namespace Galenahill {

namespace {

// Time in which nodes learn of the end of a target.
constexpr Milliseconds EndReportTime{50};
constexpr Milliseconds EndReportCheckInterval{10};

}

// Copies of the request may have ended other targets at the same time; reports of that take a few round trips.
asio::awaitable<void> Ingress::Private::waitForEndReports(IngressCall &call)
{
    const auto until = Clock::now() + EndReportTime;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (Clock::now() < std::min<TimePoint>(until, call.deadline) && !call.connection.cancellation().cancelled() && !call.endedByStop
        && !router.isQuarantined(call)) {
        ErrorCode ignored;
        timer.expires_after(EndReportCheckInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<HttpResponse> Ingress::Private::route(IngressCall &call)
{
    router.callStarted(call);
    Attempt last;
    std::optional<Attempt> failed;
    auto offer = router.choose(call);
    while (offer.target != nullptr) {
        call.lastTarget = offer.target->name;
        last = co_await attempt(call, offer);
        const auto result = last.result;
        router.attemptEnded(call, result);
        if (call.endedTarget) {
            co_await waitForEndReports(call);
        }
        const auto *connection = respondingConnection(call);
        const bool responseStarted = connection != nullptr && connection->responseStarted();
        if (responseStarted || result == AttemptResult::Answered || !router.mayRetry(call, result)) {
            break;
        }
        if (result == AttemptResult::Failed) {
            failed = std::move(last);
            last = Attempt();
        }
        offer = router.choose(call);
        retriesMade += offer.target != nullptr && isSent(result) ? 1 : 0;
    }
    router.callEnded(call);
    // An error response of a target tells the caller more than a rejection or a timeout of the
    // retry that followed it.
    const bool answered = last.result == AttemptResult::Answered || last.result == AttemptResult::Failed;
    if (failed && !answered) {
        last = std::move(*failed);
        call.reason = last.reason.value_or("");
    }
    if (last.remainingBody) {
        stripFields(last.response, options.headerNames);
        call.isResponding = true;
        HttpResponse sent;
        sent.result(last.response.result_int());
        const auto result = co_await call.connection.sendStreamed(std::move(last.response), *last.remainingBody);
        recordEarlyEnd(call, result, sent);
        co_return sent;
    }
    auto response = finalResponse(call, std::move(last));
    if (const auto *connection = respondingConnection(call); connection != nullptr && connection->streamResult()) {
        recordEarlyEnd(call, *connection->streamResult(), response);
    }
    co_return response;
}

}
