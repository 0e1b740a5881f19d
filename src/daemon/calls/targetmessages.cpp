#include "daemon/calls/targetmessages.h"

#include "core/calls/callheaders.h"
#include "daemon/calls/callmessages.h"

#include <algorithm>
#include <fmt/format.h>

namespace Galenahill {

namespace {

// Subtracted from the timeout that is passed to the target, so that the target's own timeout response
// arrives while the ingress still waits, and the connection can be reused.
constexpr Milliseconds ResponseMargin{10};

}

HttpRequest targetRequest(HttpRequest request, const SlotCall &call, const CallHeaderNames &headerNames, const std::string &targetId)
{
    const std::string callId(request[CallHeaders::CallId]);
    const bool retriedAbove = request.find(CallHeaders::RetriedAbove) != request.end();
    stripFields(request, headerNames);
    if (headerNames.requestId.empty()) {
        request.set(CallHeaders::CallId, callId);
    }
    const auto left = std::chrono::duration_cast<Milliseconds>(call.deadline - call.acquiredAt);
    request.set(headerNames.timeoutMs, std::to_string(std::max(left - ResponseMargin, Milliseconds(1)).count()));
    if (!headerNames.expectedTarget.empty()) {
        request.set(headerNames.expectedTarget, targetId);
    }
    if (!headerNames.callerService.empty()) {
        request.set(headerNames.callerService, call.callerService);
    }
    if (call.customer && !call.terms.hasRunningParent && !headerNames.customer.empty()) {
        request.set(headerNames.customer, call.customer->name.value());
    }
    if (retriedAbove) {
        request.set(CallHeaders::RetriedAbove, "yes");
    }
    request.keep_alive(true);
    return request;
}

ResponseClass classOf(const HttpResponse &response, const CallHeaderNames &headerNames)
{
    return classifyResponse(headerNames,
        {.status = response.result_int(),
            .hasOriginMarker = response.count(headerNames.originMarker) > 0,
            .isMarkedNotExecuted = response.count(headerNames.notExecuted) > 0,
            .hasEncoding = response.count(http::field::content_encoding) > 0});
}

AdmissionController::ReleaseReason releaseReasonOf(const HttpResponse &response, ResponseClass responseClass, const CallHeaderNames &headerNames)
{
    using Reason = AdmissionController::ReleaseReason;
    switch (responseClass) {
    case ResponseClass::NotExecuted:
        return Reason::Overloaded;
    case ResponseClass::Untrusted:
        return Reason::ConnectionLost;
    case ResponseClass::Unproven:
        return Reason::Answered;
    case ResponseClass::Answered:
    case ResponseClass::Failed:
        break;
    }
    const bool provesNotRun = !headerNames.notExecuted.empty();
    return !provesNotRun && response.result() == http::status::service_unavailable ? Reason::Overloaded : Reason::Answered;
}

HttpResponse ingressResponse(HttpResponse response, ResponseClass responseClass, const CallHeaderNames &headerNames)
{
    switch (responseClass) {
    case ResponseClass::NotExecuted: {
        auto rejected = notRunResponse(http::status::service_unavailable, "refused", "the target states that it did not run the call");
        rejected.set(CallHeaders::Outcome, CallHeaders::NotRunByTarget);
        return rejected;
    }
    case ResponseClass::Untrusted:
        return outcomeUnknownResponse("the response cannot be attributed to the target", http::status::bad_gateway);
    case ResponseClass::Unproven:
        return outcomeUnknownResponse(fmt::format("the target responded with status {} and does not state that it did not run the call", response.result_int()),
            http::status::bad_gateway);
    case ResponseClass::Answered:
    case ResponseClass::Failed:
        break;
    }
    stripFields(response, headerNames);
    return response;
}

}
