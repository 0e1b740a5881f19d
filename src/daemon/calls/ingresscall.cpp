#include "daemon/calls/ingresscall.h"

namespace Galenahill {

CallResult callResultOf(const HttpResponse &response)
{
    if (isNotRun(response)) {
        return CallResult::NotRun;
    }
    if (isOutcomeUnknown(response)) {
        return CallResult::OutcomeUnknown;
    }
    return response.result_int() >= 500 ? CallResult::TargetFailed : CallResult::Answered;
}

bool isSent(AttemptResult result)
{
    return result != AttemptResult::NotRun && result != AttemptResult::KeyRevoked;
}

bool mayHaveRun(AttemptResult result)
{
    return result == AttemptResult::OutcomeUnknown || result == AttemptResult::Overloaded || result == AttemptResult::Failed;
}

AttemptResult attemptResultOf(const Result<HttpResponse> &response, const CallHeaderNames &headerNames)
{
    if (!response) {
        return response.error().kind == ErrorKind::Unavailable ? AttemptResult::NotRun : AttemptResult::OutcomeUnknown;
    }
    if (isNotRunByTarget(*response)) {
        return AttemptResult::NotRunByTarget;
    }
    if (isNotRun(*response)) {
        if (response->result() == http::status::unauthorized) {
            return AttemptResult::KeyRevoked;
        }
        return AttemptResult::NotRun;
    }
    if (isOutcomeUnknown(*response)) {
        return AttemptResult::OutcomeUnknown;
    }
    if (!headerNames.notExecuted.empty()) {
        return response->result_int() >= 500 ? AttemptResult::Failed : AttemptResult::Answered;
    }
    return response->result() == http::status::service_unavailable ? AttemptResult::Overloaded : AttemptResult::Answered;
}

}
