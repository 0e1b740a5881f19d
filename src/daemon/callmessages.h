#pragma once

#include "adapters/http/httpmessage.h"
#include "common/identifiers.h"
#include "core/calls/calldialect.h"
#include "core/calls/targetload.h"

#include <optional>
#include <string>
#include <vector>

namespace Galenahill {

// What an ingress tells a sidecar about a call beside its deadline.
struct CallTerms
{
    // Rank among the calls that wait for the target; zero goes first.
    std::uint32_t priority = 0;
    // Time within which the call should be answered; nothing: no objective.
    std::optional<Milliseconds> objectiveLeft;
    // Whether the call may wait for a slot. Else it is refused if none is free,
    // and goes to another target first.
    bool mayWait = true;
    // How long it may wait, given what it has waited elsewhere; nothing: as long as
    // it can still be in time.
    std::optional<Milliseconds> waitLeft;
    // Whether a call that a target is running waits for this one. Refused, it
    // would waste what that target has done.
    bool forRunningCall = false;
    // Whether the call may have run before, or is made by a run of which that holds.
    bool repeat = false;

    friend bool operator==(const CallTerms &, const CallTerms &) = default;
};

// Removes the fields that belong to one connection and those that only nodes
// may set, so that neither a caller nor a target can forge them. Fields of the
// dialect that travel from caller to target, or back, are kept.
void stripFields(http::fields &fields, const CallDialect &dialect = {});

// The final answer to a call that certainly didn't run, with the time after
// which to come back.
HttpResponse notRunResponse(http::status status, const std::string &kind, const std::string &message, Milliseconds retryAfter = Milliseconds(1000));

// The final answer to a call that may have run.
HttpResponse outcomeUnknownResponse(const std::string &message, http::status status = http::status::gateway_timeout);

// The time left by that header of the call, or nothing if it has none or it
// isn't a number.
std::optional<std::int64_t> timeoutHeader(const HttpRequest &request, const std::string &name = CallHeaders::TimeoutMs);

// The terms of the call; the defaults if it has none or they are malformed.
CallTerms termsHeader(const HttpRequest &request);
std::string formatTerms(const CallTerms &terms);

// The wait for a slot that a sidecar's refusal tells, if any.
std::optional<Milliseconds> waitHeader(const HttpResponse &response);

// The services that runs of the call's route call, by a sidecar's answer.
std::vector<ServiceName> callsHeader(const HttpResponse &response);
std::string formatCalls(const std::vector<ServiceName> &services);

// The load in a sidecar's answer; nothing if it isn't there or malformed.
std::optional<TargetLoad> loadHeader(const HttpResponse &response);
std::string formatLoad(TargetLoad load);

// Whether the answer says that the call didn't run, that it was sent to the
// target and the target says that it didn't run, or that it may have run.
bool saysNotRunByTarget(const HttpResponse &response);
bool saysNotRun(const HttpResponse &response);
bool saysOutcomeUnknown(const HttpResponse &response);

}
