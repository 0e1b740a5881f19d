#pragma once

#include "adapters/http/bodysource.h"
#include "adapters/http/serverconnection.h"
#include "core/calls/offerorder.h"
#include "core/calls/retrybudget.h"
#include "core/calls/routingview.h"
#include "core/calls/servicelevelmetrics.h"
#include "core/customers/calleridentity.h"
#include "core/quarantine/requestdigest.h"
#include "daemon/calls/attemptconnection.h"
#include "daemon/calls/callmessages.h"

#include <boost/intrusive/list.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Galenahill {

struct AttemptReplacement;

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
    // Time that the caller gave the call; empty if it gave none.
    std::optional<Milliseconds> givenTime;
    // How long the caller waited before it returned with this call; zero if it is new. Whether that
    // counts: the objective begins with the first attempt, and the call goes ahead of new ones.
    Milliseconds waitedBefore{0};
    bool waitCounts = false;
    HttpRequest request;
    ServerConnection &connection;
    // The connection as the last attempt sees it. Kept until the rest of a streamed response is sent.
    std::optional<AttemptConnection> attemptConnection;
    // The replacement of the last attempt, which may be the one that responds; null if there is none.
    std::shared_ptr<AttemptReplacement> replacement;
    OfferHistory offers;
    // Canary version that the call is offered to; null if none.
    const CanaryVersion *canary = nullptr;
    // Canary version that the call was first assigned to, for the log.
    TargetVersion version;
    // Targets that may have run the call and sidecars that have been offered a retry of it. Further
    // retries skip them.
    std::vector<NodeName> excludedFromRetry;
    std::uint32_t retryOffers = 0;
    // Offers to replace a slow attempt.
    std::uint32_t replacementOffers = 0;
    // Whether a retry has been taken from the budget for the next attempt.
    bool retryReserved = false;
    NodeName lastTarget;
    // Number of attempts that reached a target, and of those among them that may have run the call.
    std::uint32_t attemptsSent = 0;
    std::uint32_t unknownOutcomes = 0;
    // What proves that the last attempt did not run the call; see CallReport.
    std::string notRunBy = "ingress";
    std::optional<Milliseconds> reportedWait;
    // Wait at the service's targets that the caller's delay was derived from, and that delay; set on
    // rejection.
    std::optional<Milliseconds> backlog;
    std::optional<Milliseconds> retryAfter;
    std::string reason;
    // Digest of the content, and the number of targets known to have ended under it.
    RequestDigest digest;
    std::size_t targetEnds = 0;
    // Whether a sidecar has stated that no further target gets it.
    bool statedQuarantined = false;
    // Whether the target of the last attempt ended, and whether the call has been offered to the one target that may run it
    // as a suspect.
    bool endedTarget = false;
    bool suspectOffered = false;
    // Number of slow attempts whose replacement at another target responded, and when the last one did;
    // of replacements that were rejected; and of those that reached a target, but did not respond first.
    std::uint32_t replacedAttempts = 0;
    TimePoint replacedAt;
    std::uint32_t rejectedReplacements = 0;
    std::uint32_t unusedReplacements = 0;
    // Whether a node closer to the first caller retries the call if it fails.
    bool retriedAbove = false;
    // Whether the body is long enough to occupy a slow link for a while.
    bool hasLargeBody = false;
    // Whether the response is large, and the targets schedule such responses on their VMs' links.
    bool hasLargeResponse = false;
    // Priority of the root call of the call tree; zero is the highest.
    std::uint32_t priority = 0;
    // Customer of the root call of the call tree; empty if it needed no key.
    std::optional<IdentifiedCustomer> customer;
    // Its definition in the configuration of `view`; null for nested calls.
    const CustomerDefinition *customerDefinition = nullptr;
    // Whether this is a nested call of a call that the local target is running.
    bool hasRunningParent = false;
    CallOrigin origin = CallOrigin::Caller;
    // Whether the response that an attempt has got is being sent to the caller.
    bool isResponding = false;
    // Whether this node answers the call because the time for its stop is over.
    bool endedByStop = false;
    // Whether the call got no further attempt because it would outlast the node's stop.
    bool rejectedForStop = false;
    // Links the calls that have a route and are not answered yet. The list may end before the call.
    boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> runningHook;
};

// Result of one attempt.
enum class AttemptResult {
    Answered,
    // The target ran the call and returned an error.
    Failed,
    // The sidecar rejected the call.
    NotRun,
    // The sidecar rejected the call because its key has been revoked.
    KeyRevoked,
    // The call was sent to the target, which states that it did not run it.
    NotRunByTarget,
    // The target responded that it is overloaded. Unlike a rejection by the sidecar, that does not
    // prove that the call was not run.
    Overloaded,
    OutcomeUnknown,
};

// Result of one attempt to have a target run the call, made through the target's sidecar.
struct Attempt
{
    AttemptResult result = AttemptResult::NotRun;
    HttpResponse response;
    // The part of a long response body that has not arrived yet.
    std::unique_ptr<BodySource> remainingBody;
    // Why the target did not answer, for the log; empty if it answered, or if the attempt was cancelled.
    std::optional<std::string> reason;
};

// Result of the call whose final response this is.
CallResult callResultOf(const HttpResponse &response);

// Result of the attempt that got this response. An Unavailable error means that the call was not
// sent. If there is a header for it, only that header in the target's response proves that the target
// did not run the call; a status of 503 does not.
AttemptResult attemptResultOf(const Result<HttpResponse> &response, const CallHeaderNames &headerNames);

// Whether an attempt with this result reached the target, and whether the target may have run the
// call.
bool isSent(AttemptResult result);
bool mayHaveRun(AttemptResult result);

}
