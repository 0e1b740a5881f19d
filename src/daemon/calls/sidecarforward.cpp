#include "daemon/calls/sidecar_p.h"

#include "core/calls/callheaders.h"
#include "daemon/calls/targetmessages.h"

namespace Galenahill {

namespace {

using Microseconds = std::chrono::microseconds;

// Longest time for which a connection may have been idle to carry a call that must not be retried.
// Targets are known to forget idle connections, the earliest after 300 ms, and to reset them on the
// next request: the call did not run, but that cannot be proven. A new connection costs a
// millisecond.
constexpr Milliseconds MaxIdleWithoutRetry{200};

}

void Sidecar::Private::logEarlyEnd(const SlotCall &call, const StreamResult &result, ServerConnection &connection) const
{
    const bool readerLeft = connection.cancellation().cancelled() || !result.sourceFailed;
    options.log(LogLevel::Info,
        "response-ended-early",
        {{"id", call.id},
            {"route", call.route.value()},
            {"ended_by", readerLeft ? "ingress" : "target"},
            {"reason", result.error.message()},
            {"sent_bytes", result.bytes},
            {"left_ms", std::chrono::duration_cast<Milliseconds>(call.deadline - Clock::now()).count()}});
}

asio::awaitable<HttpResponse> Sidecar::Private::forward(HttpRequest request, SlotCall call, ServerConnection &connection)
{
    using Reason = AdmissionController::ReleaseReason;
    const auto &headerNames = options.headerNames;
    // An ingress at an older revision, which has no customers yet, does not know the field as a key.
    if (view && view->config && view->config->snapshot->requiresKeys()) {
        request.erase(http::field::authorization);
    }
    auto forwarded = targetRequest(std::move(request), call, headerNames, targetId);
    std::unique_ptr<BodySource> remainingBody;
    HttpClient::ExchangeOptions exchangeOptions;
    exchangeOptions.cancellation = &connection.cancellation();
    exchangeOptions.requestBody = call.bufferedBytes > 0 ? nullptr : connection.requestBody();
    exchangeOptions.responseBody = &remainingBody;
    if (forwarded.count(CallHeaders::RetriedAbove) == 0 && !headerNames.notExecuted.empty()) {
        exchangeOptions.maxIdle = MaxIdleWithoutRetry;
        exchangeOptions.avoidAmbiguity = true;
    }
    if (!headerNames.requestId.empty()) {
        exchangeOptions.matchesRequest = [&](const http::fields &fields) {
            const auto id = fields[headerNames.requestId];
            return id.empty() || id == forwarded[headerNames.requestId];
        };
        // A rejection names no call, and after one the same call may be sent again.
        exchangeOptions.isAmbiguous
            = [&](const http::fields &fields) { return fields[headerNames.requestId].empty() || fields.count(headerNames.notExecuted) > 0; };
    }
    const auto begin = Clock::now();
    running.started(
        call.id, RunningCall{.route = call.route, .priority = call.terms.priority, .isRetry = call.terms.isRetry, .customer = call.customer}, begin);
    const auto sentTo = std::pair(targetId, targetStartedAt);
    const auto ticket = call.terms.digest ? endDetector.started(*call.terms.digest) : TargetEndDetector::NoTicket;
    ++callsSent;
    auto response = co_await options.client.exchange(options.target, forwarded, call.deadline, exchangeOptions);
    response ? running.answered(call.id) : running.unanswered(call.id, call.deadline);
    const auto time = std::chrono::duration_cast<Microseconds>(Clock::now() - begin);
    if (options.stageEnded) {
        options.stageEnded(CallStage::Queue, std::chrono::duration_cast<Microseconds>(begin - call.arrived));
        options.stageEnded(CallStage::Target, time);
    }
    if (response) {
        endDetector.answered(ticket, Clock::now());
        const auto responseClass = classOf(*response, headerNames);
        const auto reason = releaseReasonOf(*response, responseClass, headerNames);
        const bool isCurrentTarget = sentTo == std::pair(targetId, targetStartedAt);
        if (isCurrentTarget && responseClass != ResponseClass::Untrusted) {
            statements.read(*response, targetId, begin);
        }
        if (options.callEnded && responseClass != ResponseClass::NotExecuted) {
            options.callEnded(call.route,
                responseClass == ResponseClass::Failed || responseClass == ResponseClass::Unproven ? TargetResult::Failed : TargetResult::Answered,
                time);
        }
        const bool isResponse = responseClass == ResponseClass::Answered || responseClass == ResponseClass::Failed;
        if (isResponse && options.quarantine != nullptr && call.terms.digest) {
            options.quarantine->answered(*call.terms.digest, Clock::now());
        }
        const bool streamed = remainingBody && isResponse;
        auto answer = ingressResponse(std::move(*response), responseClass, headerNames);
        if (const auto *services = calledServices.servicesOf(call.route)) {
            answer.set(CallHeaders::Calls, formatCalledServices(*services));
        }
        if (const auto queued = std::chrono::duration_cast<Milliseconds>(begin - call.arrived); queued.count() > 0) {
            answer.set(CallHeaders::QueuedMs, std::to_string(queued.count()));
        }
        if (isResponse && call.responseTicket != ResponseTicket()) {
            co_return co_await sendLarge(std::move(answer), std::move(remainingBody), call, reason, connection);
        }
        if (isResponse && responseSender->enabled() && largeResponseRoutes.count(call.route) > 0) {
            responseSender->recordSize(call.route, remainingBody ? remainingBody->length().value_or(answer.body().size()) : answer.body().size());
        }
        if (streamed) {
            reportLoad(answer);
            const auto result = co_await connection.sendStreamed(std::move(answer), *remainingBody);
            slots->release(call, reason);
            if (result.error) {
                logEarlyEnd(call, result, connection);
            }
            co_return answer;
        }
        // The reported load leaves this call out: otherwise a target with one slot would never appear to
        // have a free one.
        slots->release(call, reason);
        reportLoad(answer);
        co_return answer;
    }
    if (response.error().kind == ErrorKind::Unavailable) {
        endDetector.notSent(ticket);
        co_await checkAbandonedEnd();
        slots->release(call, Reason::NotSent);
        if (options.targetUnreachable && !connection.cancellation().cancelled()) {
            options.targetUnreachable();
        }
        co_return reject("the target cannot be reached");
    }
    const bool late = Clock::now() >= call.deadline;
    const bool cancelled = connection.cancellation().cancelled();
    if (late || cancelled) {
        endDetector.abandoned(ticket, Clock::now());
        watchAbandoned();
    } else {
        co_await checkForTargetEnd(ticket, call);
    }
    if (options.callEnded) {
        options.callEnded(call.route, late || cancelled ? TargetResult::Abandoned : TargetResult::Answered, time);
    }
    options.log(LogLevel::Info,
        "target-gave-no-answer",
        {{"id", call.id},
            {"route", call.route.value()},
            {"target", sentTo.first},
            {"digest", call.terms.digest ? toString(*call.terms.digest) : std::string()},
            {"late", late},
            {"cancelled", cancelled},
            {"ms", std::chrono::duration_cast<Milliseconds>(Clock::now() - begin).count()},
            {"reason", response.error().message}});
    slots->release(call, cancelled ? Reason::Cancelled : late ? Reason::TimedOut : Reason::ConnectionLost);
    auto unknown = outcomeUnknownResponse(response.error().message, late ? http::status::gateway_timeout : http::status::bad_gateway);
    reportLoad(unknown);
    reportTargetEnds(unknown, call);
    co_return unknown;
}

}
