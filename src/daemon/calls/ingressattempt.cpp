#include "daemon/calls/ingress_p.h"

#include "core/calls/callheaders.h"
#include "daemon/calls/callmessages.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Longest part of a failed attempt's response body that is logged.
constexpr std::size_t MaxReasonBytes = 120;

// See CallReport::notRunBy.
std::string proofOfRejection(AttemptResult result, bool hasResponse)
{
    switch (result) {
    case AttemptResult::NotRun:
    case AttemptResult::KeyRevoked:
        return hasResponse ? "sidecar" : "connection";
    case AttemptResult::NotRunByTarget:
        return "target";
    default:
        return {};
    }
}

}

void Ingress::Private::setSidecarFields(const IngressCall &call, HttpRequest &request, const AttemptTerms &attemptTerms) const
{
    const auto now = Clock::now();
    const bool hasBody = !request.body().empty() || call.connection.requestBody() != nullptr;
    CallTerms terms{.priority = call.priority,
        .objectiveLeft = std::nullopt,
        .mayWait = attemptTerms.mayWait,
        .waitLeft = router.waitLeft(call),
        .waitedBefore = call.waitCounts ? call.waitedBefore : Milliseconds(0),
        .hasRunningParent = call.hasRunningParent,
        .isRetry = call.origin == CallOrigin::RetryAtTarget || attemptTerms.isRetry,
        .digest = hasBody ? std::optional(call.digest) : std::nullopt};
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
    if (attemptTerms.canary != nullptr) {
        request.set(CallHeaders::Version, attemptTerms.canary->version.value());
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

// Sends the request to the target's sidecar. An Unavailable error means that it was not sent.
asio::awaitable<Result<HttpResponse>> Ingress::Private::sendToSidecar(
    const IngressCall &call, HttpRequest &request, const MemberRecord &target, AttemptConnection &connection, std::unique_ptr<BodySource> &remainingBody)
{
    const auto sidecar = target.sidecar();
    if (options.callLocalSidecar && sidecar == options.localSidecar) {
        co_return co_await options.callLocalSidecar(request, connection);
    }
    HttpClient::ExchangeOptions exchangeOptions;
    exchangeOptions.cancellation = &connection.cancellation();
    exchangeOptions.requestBody = connection.requestBody();
    exchangeOptions.expectContinue = true;
    exchangeOptions.responseBody = &remainingBody;
    co_return co_await options.client.exchange(sidecar, request, call.deadline, exchangeOptions);
}

asio::awaitable<Attempt> Ingress::Private::attempt(IngressCall &call, Offer offer)
{
    if (call.deadline - Clock::now() < Milliseconds(1)) {
        co_return Attempt{};
    }
    setSidecarFields(call, call.request, {.mayWait = offer.mayWait, .isRetry = call.unknownOutcomes > 0, .canary = call.canary});
    call.replacement.reset();
    auto &connection = call.attemptConnection.emplace(call.connection);
    // A large response that waits for the link would be produced again.
    const bool replaceable = !call.hasLargeResponse && options.policy.retryBudget && router.isRetryable(call);
    auto attempted = replaceable ? attemptWithReplacement(call, *offer.target) : send(call, call.request, *offer.target, connection);
    auto attempt = co_await std::move(attempted);
    if (attempt.reason) {
        call.reason = *attempt.reason;
    }
    co_return attempt;
}

// Sends the request to the target's sidecar, and records what the result says about the target.
asio::awaitable<Attempt> Ingress::Private::send(IngressCall &call, HttpRequest &request, const MemberRecord &target, AttemptConnection &connection)
{
    const auto begin = Clock::now();
    Attempt attempt;
    router.addInFlight(call, target.name);
    auto response = co_await sendToSidecar(call, request, target, connection, attempt.remainingBody);
    router.removeInFlight(call, target.name);
    attempt.result = attemptResultOf(response, options.headerNames);
    // If the caller has cancelled the call, or the replaced attempt has responded, the result says nothing
    // about the target. A cancelled first attempt counts as a failure, since nothing else keeps calls away
    // from a target that hangs.
    const bool unused = connection.isReplacement() && connection.cancellation().cancelled();
    if (unused || call.connection.cancellation().cancelled()) {
        co_return attempt;
    }
    router.recordResult(call, target.name, attempt.result, response);
    if (!connection.isReplacement()) {
        call.notRunBy = proofOfRejection(attempt.result, response.has_value());
    }
    const auto time = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - begin);
    if (attempt.result == AttemptResult::Answered || attempt.result == AttemptResult::OutcomeUnknown) {
        attemptTimeouts.record(call.route->name, time);
    }
    if (attempt.result == AttemptResult::Answered) {
        retryAfter.callAnswered(call.service, Clock::now());
        router.recordServiceTime(call, std::max<std::chrono::microseconds>(time - queuedHeader(*response), std::chrono::microseconds(0)));
    }
    if (!response) {
        attempt.reason = response.error().message;
        co_return attempt;
    }
    recordResponse(call, target, attempt.result, *response);
    if (attempt.result != AttemptResult::Answered) {
        attempt.reason = response->body().substr(0, MaxReasonBytes);
    }
    attempt.response = std::move(*response);
    co_return attempt;
}

void Ingress::Private::recordResponse(IngressCall &call, const MemberRecord &target, AttemptResult result, const HttpResponse &response)
{
    if (auto services = calledServicesHeader(response); !services.empty()) {
        guard.setCalledServices(call.route->name, std::move(services));
    }
    const auto stated = targetEndsHeader(response);
    call.targetEnds = std::max(call.targetEnds, stated.ends);
    call.statedQuarantined = call.statedQuarantined || stated.isQuarantined;
    call.endedTarget = stated.ends > 0 && result == AttemptResult::OutcomeUnknown;
    const auto wait = waitHeader(response);
    if (wait || loadHeader(response)) {
        router.updateExpectedWait(call, target.name, wait.value_or(Milliseconds(0)));
    }
    if (wait && result == AttemptResult::NotRun) {
        call.reportedWait = std::min(call.reportedWait.value_or(*wait), *wait);
    }
}

}
