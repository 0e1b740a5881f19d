#include "core/calls/responseclass.h"

namespace Galenahill {

namespace {

constexpr unsigned RequestTimeout = 408;
constexpr unsigned Misdirected = 421;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned ServiceUnavailable = 503;

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

// Whether callers take the status for a promise that the call neither ran nor will run.
bool promisesNotRun(unsigned status)
{
    return status == RequestTimeout || status == TooManyRequests || status == ServiceUnavailable;
}

}

ResponseClass classifyResponse(const CallHeaderNames &headerNames, const ResponseFacts &facts)
{
    if (!headerNames.notExecuted.empty() && (facts.isMarkedNotExecuted || facts.status == Misdirected)) {
        return ResponseClass::NotExecuted;
    }
    if (!headerNames.notExecuted.empty() && promisesNotRun(facts.status)) {
        return ResponseClass::Unproven;
    }
    if (!headerNames.originMarker.empty()) {
        // A faulty target, or another process at its address, may send bytes that parse as a response;
        // the caller would take them for the result of its call.
        const bool falseSuccess = isSuccess(facts.status) && (!facts.hasOriginMarker || facts.hasEncoding);
        if (falseSuccess) {
            return ResponseClass::Untrusted;
        }
    }
    return facts.status >= 500 ? ResponseClass::Failed : ResponseClass::Answered;
}

}
