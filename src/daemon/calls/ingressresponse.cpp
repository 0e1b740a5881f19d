#include "daemon/calls/ingress_p.h"

#include "core/calls/callheaders.h"
#include "daemon/calls/attemptreplacement.h"
#include "daemon/calls/callmessages.h"

#include <fmt/format.h>

namespace Galenahill {

void Ingress::Private::report(const IngressCall &call, const HttpResponse &response) const
{
    if (!options.callReported) {
        return;
    }
    const auto now = Clock::now();
    options.callReported({.id = call.id,
        .customer = call.customer ? call.customer->name : CustomerName(),
        .route = call.route->name,
        .type = call.route->type,
        .service = call.service,
        .version = call.version,
        .revision = call.view->config->revision(),
        .result = callResultOf(response),
        .status = response.result_int(),
        .target = call.lastTarget,
        .offerCount = call.offers.offeredWithoutWaiting.size() + call.offers.queuedAt.size(),
        .attemptsSent = call.attemptsSent,
        .notRunBy = callResultOf(response) == CallResult::NotRun ? call.notRunBy : std::string(),
        .latency = std::chrono::duration_cast<std::chrono::microseconds>(now - call.begin),
        .timeLeft = std::chrono::duration_cast<Milliseconds>(call.callerDeadline - now),
        .reportedWait = call.reportedWait,
        .backlog = call.backlog,
        .retryAfter = call.retryAfter,
        .waitBound = router.waitBound(call),
        .waitedBefore = call.waitedBefore,
        .waitCounts = call.waitCounts,
        .cancelled = call.connection.cancellation().cancelled(),
        .replacedAttempts = call.replacedAttempts,
        .replacedAfter = call.replacedAttempts > 0 ? std::chrono::duration_cast<Milliseconds>(call.replacedAt - call.begin) : Milliseconds(0),
        .rejectedReplacements = call.rejectedReplacements,
        .unusedReplacements = call.unusedReplacements,
        .hasRunningParent = call.hasRunningParent,
        .digest = call.digest,
        .targetEnds = call.targetEnds,
        .caller = call.connection.peerAddress(),
        .callerPort = call.connection.peerPort(),
        .reason = call.reason});
}

void Ingress::Private::reportUnrouted(const IngressCall &call, unsigned status, std::string reason) const
{
    if (options.callReported) {
        options.callReported({.id = call.id,
            .revision = call.view && call.view->config ? call.view->config->revision() : Revision(),
            .result = CallResult::NotRun,
            .status = status,
            .notRunBy = "ingress",
            .caller = call.connection.peerAddress(),
            .callerPort = call.connection.peerPort(),
            .reason = std::move(reason)});
    }
}

// The response has been sent, so the change is only for the log and the metrics.
void Ingress::Private::recordEarlyEnd(IngressCall &call, const StreamResult &result, HttpResponse &response)
{
    if (!result.error) {
        return;
    }
    const bool callerLeft = call.connection.cancellation().cancelled() || !result.sourceFailed;
    responsesEndedEarly += callerLeft ? 0 : 1;
    call.reason
        = fmt::format("the response ended after {} bytes, {}: {}", result.bytes, callerLeft ? "by the caller" : "by the sidecar", result.error.message());
    response.set(CallHeaders::Outcome, CallHeaders::OutcomeUnknown);
}

// A call whose response has begun goes on: there is nothing else that the caller could be sent. Returns
// whether the call was ended now.
bool Ingress::Private::endForStop(IngressCall &call)
{
    const auto *connection = respondingConnection(call);
    if (call.endedByStop || call.isResponding || (connection != nullptr && connection->responseStarted())) {
        return false;
    }
    call.endedByStop = true;
    call.deadline = std::min(call.deadline, Clock::now());
    if (call.replacement && call.replacement->connection) {
        call.replacement->connection->cancellation().cancel();
    }
    if (call.attemptConnection) {
        call.attemptConnection->cancellation().cancel();
    }
    return true;
}

HttpResponse Ingress::Private::finalResponse(IngressCall &call, Attempt last)
{
    if (last.result == AttemptResult::Answered || last.result == AttemptResult::Failed || last.result == AttemptResult::Overloaded) {
        stripFields(last.response, options.headerNames);
        return std::move(last.response);
    }
    if (call.unknownOutcomes > 0 || mayHaveRun(last.result)) {
        // The sidecar's deadline is stated in whole milliseconds, and passes up to one before this one.
        const bool late = !call.endedByStop && call.deadline - Clock::now() < Milliseconds(1);
        auto response = outcomeUnknownResponse(fmt::format("call {} may have run; check its effect before retrying it", call.id.value()),
            late ? http::status::gateway_timeout : http::status::bad_gateway);
        if (router.isQuarantined(call)) {
            response.erase(http::field::retry_after);
        }
        return response;
    }
    if (last.result == AttemptResult::KeyRevoked) {
        return unauthorizedResponse(CallerIdentity::Status::UnknownKey);
    }
    if (call.rejectedForStop && !router.isQuarantined(call)) {
        call.reason = "the call would outlast the stop of this node";
        return notRunResponse(http::status::service_unavailable,
            "stopping",
            fmt::format("call {} was not run: this node is stopping, and the call would outlast that; send it to another node", call.id.value()));
    }
    return router.isQuarantined(call) ? quarantineRejection(call) : rejection(call);
}

// Says nothing of when to return: no repeat of the request will be run.
HttpResponse Ingress::Private::quarantineRejection(IngressCall &call)
{
    ++quarantinedCalls;
    if (options.quarantine != nullptr) {
        call.targetEnds = std::max(call.targetEnds, options.quarantine->table().endsOf(call.digest, Clock::now()));
    }
    call.reason = fmt::format("quarantined: {} targets have ended while they executed requests with this content", call.targetEnds);
    auto response = notRunResponse(http::status::service_unavailable,
        "quarantined",
        fmt::format("call {} was not run: targets of {} have ended while they executed requests with the same content; do not repeat it, and ask the operators "
                    "to look for digest {}",
            call.id.value(),
            call.service.value(),
            toString(call.digest)));
    response.erase(http::field::retry_after);
    return response;
}

// The wait that sidecars reported stands in for an unknown backlog. A caller that has returned before does
// not return again.
HttpResponse Ingress::Private::rejection(IngressCall &call)
{
    const auto now = Clock::now();
    call.backlog = router.backlog(call);
    call.retryAfter = retryAfter.delay({.service = call.service,
                                           .backlog = call.backlog.value_or(call.reportedWait.value_or(Milliseconds(0))),
                                           .timeLeft = std::chrono::duration_cast<Milliseconds>(call.callerDeadline - now),
                                           .returnWithin = router.returnWithin(call, now),
                                           .willReturn = call.waitedBefore.count() == 0},
        now);
    return notRunResponse(http::status::service_unavailable,
        "refused",
        fmt::format("call {} was not run: no target of {} accepts it at present", call.id.value(), call.service.value()),
        *call.retryAfter);
}

}
