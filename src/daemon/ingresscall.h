#pragma once

#include "adapters/http/bodysource.h"
#include "adapters/http/serverconnection.h"
#include "core/calls/offerorder.h"
#include "core/calls/routingview.h"
#include "core/calls/servicelevelmetrics.h"
#include "daemon/attemptconnection.h"
#include "daemon/callmessages.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Galenahill {

// State of one call in the ingress.
struct IngressCall
{
    std::shared_ptr<const RoutingView> view;
    const RouteDefinition *route = nullptr;
    ServiceName service;
    CallId id;
    TimePoint begin;
    TimePoint deadline;
    // When the caller stops waiting.
    TimePoint callerDeadline;
    HttpRequest request;
    ServerConnection &connection;
    // The connection as the last attempt sees it. Kept until the rest of a streamed response is sent.
    std::optional<AttemptConnection> attemptConnection;
    OfferHistory offers;
    // Canary version that the call is offered to; null if none.
    const VersionTrial *trial = nullptr;
    // Canary version that the call was first assigned to, for the log.
    TargetVersion version;
    // Targets that may have run the call and sidecars that have been offered a retry of it. Further
    // retries skip them.
    std::vector<NodeName> notToRepeatAt;
    std::uint32_t repeatsOffered = 0;
    // Whether a retry has been taken from the budget for the next attempt.
    bool holdsRepeat = false;
    NodeName lastTarget;
    // Number of attempts that reached a target, and of those among them that may have run the call.
    std::uint32_t sent = 0;
    std::uint32_t uncertain = 0;
    std::optional<Milliseconds> toldWait;
    std::string reason;
    // Whether a node nearer to the first caller retries the call if it fails.
    bool retriedAbove = false;
    // Whether the body is long enough to occupy a slow link for a while.
    bool large = false;
    // Priority of the root call of the call tree; zero is the highest.
    std::uint32_t priority = 0;
    // Whether this is a nested call of a call that the local target is running.
    bool forRunningCall = false;
    // Whether that parent call is a retry, which makes its nested calls again.
    bool ofRepeat = false;
};

// Outcome of one attempt.
enum class AttemptEnd {
    Answered,
    // The target ran the call and returned an error.
    Failed,
    // The sidecar rejected the call.
    NotRun,
    // The call was sent to the target, which states that it did not run it.
    NotRunByTarget,
    // The target responded that it is overloaded. Unlike a rejection by the sidecar, that does not
    // prove that the call was not run.
    Shed,
    OutcomeUnknown,
};

// Result of one attempt to have a target run the call, made through the target's sidecar.
struct Attempt
{
    AttemptEnd end = AttemptEnd::NotRun;
    HttpResponse response;
    // The part of a long response body that has not arrived yet.
    std::unique_ptr<BodySource> rest;
};

// Outcome of the call whose final response this is.
CallEnd endOf(const HttpResponse &response);

// Outcome of the attempt that got this response. An Unavailable error means that the call was not
// sent. If there is a header for it, only that header in the target's response proves that the target
// did not run the call; a status of 503 does not.
AttemptEnd endOfAttempt(const Result<HttpResponse> &response, const CallDialect &headerNames);

// Whether an attempt with this outcome reached the target, and whether the target may have run the
// call.
bool isSent(AttemptEnd outcome);
bool mayHaveRun(AttemptEnd outcome);

// The request's path without the query, and its host without the port.
std::string_view pathOf(const HttpRequest &request);
std::string_view hostOf(const HttpRequest &request);

}
