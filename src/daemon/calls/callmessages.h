#pragma once

#include "adapters/http/bodysource.h"
#include "adapters/http/httpmessage.h"
#include "common/identifiers.h"
#include "core/calls/callheadernames.h"
#include "core/calls/targetload.h"
#include "core/customers/calleridentity.h"
#include "core/quarantine/requestdigest.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Galenahill {

// Scheduling parameters of a call that an ingress passes to a sidecar along with the deadline.
struct CallTerms
{
    // Priority among the calls that wait for the target; zero goes first.
    std::uint32_t priority = 0;
    // Time left of the latency objective; empty if there is none.
    std::optional<Milliseconds> objectiveLeft;
    // Whether the call may wait for a slot. If not and no slot is free, the sidecar rejects it and the
    // ingress offers it to other targets first.
    bool mayWait = true;
    // How long the call may wait here, after its waits at other sidecars. If empty, only its objective
    // and deadline limit the wait.
    std::optional<Milliseconds> waitLeft;
    // How long the caller waited before it returned with this call. The time left of the objective
    // leaves it out.
    Milliseconds waitedBefore{0};
    // Whether this is a nested call of a call that a target is running. Rejecting it would waste the
    // work done for its parent call.
    bool hasRunningParent = false;
    // Whether the call or one of the calls that it is nested in is a retry of a call that may have run.
    bool isRetry = false;
    // Digest of the content of a call with a body, which the sidecar may receive in parts; empty for other calls.
    std::optional<RequestDigest> digest;

    friend bool operator==(const CallTerms &, const CallTerms &) = default;
};

// Removes the hop-by-hop header fields and those that only nodes may set, so that neither a caller
// nor a target can forge them. Keeps the platform's end-to-end fields.
void stripFields(http::fields &fields, const CallHeaderNames &headerNames = {});

// The request's path without the query, and its host without the port.
std::string_view pathOf(const HttpRequest &request);
std::string_view hostOf(const HttpRequest &request);

// Digest of the request's content. The body is the one that was read with the header, or is streamed.
RequestDigest contentDigest(const HttpRequest &request, const BodySource *streamedBody);

// Response for a call that certainly did not run, with the time after which to retry it.
HttpResponse notRunResponse(http::status status, const std::string &kind, const std::string &message, Milliseconds retryAfter = Milliseconds(1000));

// Response for a call that may have run.
HttpResponse outcomeUnknownResponse(const std::string &message, http::status status = http::status::gateway_timeout);

// Response to a caller that could not be identified.
HttpResponse unauthorizedResponse(CallerIdentity::Status status);

// Parses the customer that an ingress sends along; empty if there is none.
std::optional<IdentifiedCustomer> customerHeader(const HttpRequest &request);

// Parses the time left, in milliseconds, from the given header field; empty if it is missing or not a
// number.
std::optional<std::int64_t> timeoutHeader(const HttpRequest &request, const std::string &name = CallHeaders::TimeoutMs);

// Parses and formats the scheduling parameters. They have their defaults if the field is missing or
// has too few parts.
CallTerms termsHeader(const HttpRequest &request);
std::string formatTerms(const CallTerms &terms);

// Parses the expected wait for a slot from a sidecar's response, if it reports one.
std::optional<Milliseconds> waitHeader(const HttpResponse &response);

// What a sidecar's response states of the targets that have ended under the call's content.
struct StatedEnds
{
    std::size_t ends = 0;
    // Whether no further target gets the call.
    bool isQuarantined = false;
};

// Parses and formats that statement; no ends if there is none.
StatedEnds targetEndsHeader(const HttpResponse &response);
std::string formatTargetEnds(const StatedEnds &stated);

// Parses the time that the call waited for a slot from a sidecar's response; zero if it reports none.
Milliseconds queuedHeader(const HttpResponse &response);

// Parses and formats the services that calls of the route make nested calls to, as a sidecar's
// response reports them.
std::vector<ServiceName> calledServicesHeader(const HttpResponse &response);
std::string formatCalledServices(const std::vector<ServiceName> &services);

// Parses and formats the load in a sidecar's response; empty if it is missing or malformed.
std::optional<TargetLoad> loadHeader(const HttpResponse &response);
std::string formatLoad(TargetLoad load);

// Whether the response states that the target got the call and did not run it, that the call did not
// run for this or any other reason, or that it may have run.
bool isNotRunByTarget(const HttpResponse &response);
bool isNotRun(const HttpResponse &response);
bool isOutcomeUnknown(const HttpResponse &response);

}
