#include "daemon/ingresscall.h"

namespace Galenahill {

CallEnd endOf(const HttpResponse &response)
{
    if (saysNotRun(response)) {
        return CallEnd::NotRun;
    }
    if (saysOutcomeUnknown(response)) {
        return CallEnd::OutcomeUnknown;
    }
    return response.result_int() >= 500 ? CallEnd::TargetFailed : CallEnd::Answered;
}

std::string_view pathOf(const HttpRequest &request)
{
    const std::string_view target(request.target().data(), request.target().size());
    return target.substr(0, target.find('?'));
}

std::string_view hostOf(const HttpRequest &request)
{
    const auto field = request[http::field::host];
    const std::string_view host(field.data(), field.size());
    return host.substr(0, host.find(':'));
}

bool isSent(AttemptEnd outcome)
{
    return outcome != AttemptEnd::NotRun;
}

bool mayHaveRun(AttemptEnd outcome)
{
    return outcome == AttemptEnd::OutcomeUnknown || outcome == AttemptEnd::Shed || outcome == AttemptEnd::Failed;
}

AttemptEnd endOfAttempt(const Result<HttpResponse> &response, const CallDialect &headerNames)
{
    if (!response) {
        return response.error().kind == ErrorKind::Unavailable ? AttemptEnd::NotRun : AttemptEnd::OutcomeUnknown;
    }
    if (saysNotRunByTarget(*response)) {
        return AttemptEnd::NotRunByTarget;
    }
    if (saysNotRun(*response)) {
        return AttemptEnd::NotRun;
    }
    if (saysOutcomeUnknown(*response)) {
        return AttemptEnd::OutcomeUnknown;
    }
    if (!headerNames.notExecuted.empty()) {
        return response->result_int() >= 500 ? AttemptEnd::Failed : AttemptEnd::Answered;
    }
    return response->result() == http::status::service_unavailable ? AttemptEnd::Shed : AttemptEnd::Answered;
}

}
