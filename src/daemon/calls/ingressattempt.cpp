#include "daemon/calls/ingress_p.h"

#include "core/calls/callheaders.h"
#include "daemon/calls/callmessages.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Longest part of a failed attempt's response body that is logged.
constexpr std::size_t MaxReasonBytes = 120;

// Interval at which a slow attempt checks whether another target has a free slot. Slots become
// free every few milliseconds to some tens of milliseconds.
constexpr Milliseconds RetryCheckInterval{50};

}

void Ingress::Private::setSidecarFields(IngressCall &call, bool mayWait) const
{
    auto &request = call.request;
    const auto now = Clock::now();
    CallTerms terms{.priority = call.priority,
        .objectiveLeft = std::nullopt,
        .mayWait = mayWait,
        .waitLeft = router.waitLeft(call),
        .waitedBefore = call.waitCounts ? call.waitedBefore : Milliseconds(0),
        .hasRunningParent = call.hasRunningParent,
        .isRetry = call.parentIsRetry || call.unknownOutcomes > 0};
    if (call.route->sloLatency.count() > 0) {
        const auto left = std::chrono::duration_cast<Milliseconds>(call.begin - terms.waitedBefore + call.route->sloLatency - now);
        terms.objectiveLeft = std::max(left, Milliseconds(0));
    }
    if (options.headerNames.requestId.empty()) {
        request.set(CallHeaders::CallId, call.id.value());
    }
    request.set(CallHeaders::Service, call.service.value());
    request.set(CallHeaders::Route, call.route->name.value());
    request.set(CallHeaders::TimeoutMs, std::to_string(std::chrono::duration_cast<Milliseconds>(call.deadline - now).count()));
    if (call.canary != nullptr) {
        request.set(CallHeaders::Version, call.canary->version.value());
    } else {
        request.erase(CallHeaders::Version);
    }
    if (terms == CallTerms()) {
        request.erase(CallHeaders::Terms);
    } else {
        request.set(CallHeaders::Terms, formatTerms(terms));
    }
    if (call.customer) {
        request.set(CallHeaders::Customer, formatCustomer(*call.customer));
    }
    if (!options.callerService.value().empty()) {
        request.set(CallHeaders::CallerService, options.callerService.value());
    }
    if (call.retriedAbove || (call.route->idempotent() && call.route->retries > 0)) {
        request.set(CallHeaders::RetriedAbove, "yes");
    }
}

// Sends the call to the target's sidecar. An Unavailable error means that it was not sent.
asio::awaitable<Result<HttpResponse>> Ingress::Private::sendToSidecar(
    IngressCall &call, const MemberRecord &target, AttemptConnection &connection, std::unique_ptr<BodySource> &remainingBody)
{
    const auto sidecar = target.sidecar();
    if (options.callLocalSidecar && sidecar == options.localSidecar) {
        co_return co_await options.callLocalSidecar(call.request, connection);
    }
    HttpClient::ExchangeOptions exchangeOptions;
    exchangeOptions.cancellation = &connection.cancellation();
    exchangeOptions.requestBody = connection.requestBody();
    exchangeOptions.expectContinue = true;
    exchangeOptions.responseBody = &remainingBody;
    co_return co_await options.client.exchange(sidecar, call.request, call.deadline, exchangeOptions);
}

// Sends the call like sendToSidecar(), but cancels the attempt once it exceeds the attempt timeout
// and another target can take a retry.
asio::awaitable<Result<HttpResponse>> Ingress::Private::sendWithTimeout(
    IngressCall &call, const MemberRecord &target, AttemptConnection &connection, std::unique_ptr<BodySource> &remainingBody)
{
    const auto softDeadline = attemptTimeouts.attemptDeadline(call.route->name, Clock::now(), call.deadline);
    const auto timer = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor, softDeadline);
    cancelOnceRetryable(call, connection, timer);
    co_return co_await sendToSidecar(call, target, connection, remainingBody);
}

// A slow target may still respond. If the attempt were cancelled while no other target has a free
// slot, or the retry budget is used up, the target's work would be lost and the caller would get an
// error instead of a late response.
void Ingress::Private::cancelOnceRetryable(IngressCall &call, AttemptConnection &connection, const std::shared_ptr<asio::steady_timer> &timer)
{
    timer->async_wait([this, &call, &connection, weak = std::weak_ptr(timer)](const ErrorCode &error) {
        // The attempt owns the timer: if the timer is gone, so are the call and the connection.
        const auto running = weak.lock();
        if (error || !running || connection.responseStarted()) {
            return;
        }
        if (router.canRetryElsewhere(call)) {
            ++cancelledAttempts;
            ++call.cancelledAttempts;
            call.cancelledAt = Clock::now();
            connection.cancellation().cancel();
            return;
        }
        running->expires_after(RetryCheckInterval);
        cancelOnceRetryable(call, connection, running);
    });
}

asio::awaitable<Attempt> Ingress::Private::attempt(IngressCall &call, Offer offer)
{
    const auto begin = Clock::now();
    if (call.deadline - begin < Milliseconds(1)) {
        co_return Attempt{};
    }
    const auto &target = *offer.target;
    setSidecarFields(call, offer.mayWait);
    router.addInFlight(call, target.name);
    Attempt attempt;
    auto &connection = call.attemptConnection.emplace(call.connection);
    // A large response that waits for the link would be produced again.
    const bool retryable = !call.hasLargeResponse && options.policy.retryBudget && router.isRetryable(call);
    auto exchange
        = retryable ? sendWithTimeout(call, target, connection, attempt.remainingBody) : sendToSidecar(call, target, connection, attempt.remainingBody);
    auto response = co_await std::move(exchange);
    router.removeInFlight(call, target.name);
    attempt.result = attemptResultOf(response, options.headerNames);
    if (call.connection.cancellation().cancelled()) {
        // The caller cancelled the call, which says nothing about the target.
        co_return attempt;
    }
    router.recordResult(call, target.name, attempt.result, response);
    if (attempt.result == AttemptResult::Answered || attempt.result == AttemptResult::OutcomeUnknown) {
        attemptTimeouts.record(call.route->name, std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - begin));
    }
    if (attempt.result == AttemptResult::Answered) {
        const auto time = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - begin);
        retryAfter.callAnswered(call.service, Clock::now());
        router.recordServiceTime(call, std::max<std::chrono::microseconds>(time - queuedHeader(*response), std::chrono::microseconds(0)));
    }
    if (!response) {
        call.reason = response.error().message;
        co_return attempt;
    }
    if (auto services = calledServicesHeader(*response); !services.empty()) {
        guard.setCalledServices(call.route->name, std::move(services));
    }
    const auto wait = waitHeader(*response);
    if (wait || loadHeader(*response)) {
        router.updateExpectedWait(call, target.name, wait.value_or(Milliseconds(0)));
    }
    if (wait && attempt.result == AttemptResult::NotRun) {
        call.reportedWait = std::min(call.reportedWait.value_or(*wait), *wait);
    }
    if (attempt.result != AttemptResult::Answered) {
        call.reason = response->body().substr(0, MaxReasonBytes);
    }
    attempt.response = std::move(*response);
    co_return attempt;
}

}
