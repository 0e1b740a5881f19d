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

// One call on its way through the ingress.
struct IngressCall
{
    std::shared_ptr<const RoutingView> view;
    const RouteDefinition *route = nullptr;
    ServiceName service;
    CallId id;
    TimePoint begin;
    TimePoint deadline;
    // When the caller itself gives up.
    TimePoint callerDeadline;
    HttpRequest request;
    ServerConnection &connection;
    // As the last attempt sees it; stays while the rest of its answer is sent.
    std::optional<AttemptConnection> attemptConnection;
    OfferHistory offers;
    // The version under test that the call is offered to; null: none.
    const VersionTrial *trial = nullptr;
    // The version that it was assigned to, for the log.
    TargetVersion version;
    // Targets that may have run the call, and sidecars that had no room for a
    // repeat of it: a repeat goes to none of them.
    std::vector<NodeName> notToRepeatAt;
    std::uint32_t repeatsOffered = 0;
    // Whether a repeat was taken out of the budget for the next send.
    bool holdsRepeat = false;
    NodeName lastTarget;
    // Times that the call was sent to a target, and how many of them may have
    // run it.
    std::uint32_t sent = 0;
    std::uint32_t uncertain = 0;
    std::optional<Milliseconds> toldWait;
    std::string reason;
    // A node nearer to the first caller repeats the call if it fails.
    bool retriedAbove = false;
    // Its body takes a slow link a while.
    bool large = false;
    // Its rank: that of the call with which its chain of calls began.
    std::uint32_t priority = 0;
    // A call that the target beside this node is running waits for this one.
    bool forRunningCall = false;
    // That call is being run once more, and makes its calls again.
    bool ofRepeat = false;
};

// How one attempt ended.
enum class AttemptEnd {
    Answered,
    // The target ran the call and failed.
    Failed,
    // The sidecar refused it.
    NotRun,
    // It was sent to the target, which says that it didn't run it.
    NotRunByTarget,
    // The target answered that it has no room. Unlike a sidecar's refusal,
    // that doesn't prove that the call didn't run.
    Shed,
    OutcomeUnknown,
};

// One attempt at a target, through its sidecar.
struct Attempt
{
    AttemptEnd end = AttemptEnd::NotRun;
    HttpResponse response;
    // What is still to come of a long answer.
    std::unique_ptr<BodySource> rest;
};

// How the call that gets this answer ended.
CallEnd endOf(const HttpResponse &response);

// How the attempt that got this answer ended. An Unavailable error says that
// the call wasn't sent. If the dialect says so, only the target's own word
// proves that it didn't run a call.
AttemptEnd endOfAttempt(const Result<HttpResponse> &response, const CallDialect &dialect);

// Whether the call was sent to the target, and whether it may have run there.
bool isSent(AttemptEnd end);
bool mayHaveRun(AttemptEnd end);

// The path without its query, and the host without its port.
std::string_view pathOf(const HttpRequest &request);
std::string_view hostOf(const HttpRequest &request);

}
