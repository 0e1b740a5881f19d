#pragma once

#include "core/calls/attempttimeoutpolicy.h"
#include "core/calls/priorityinversionguard.h"
#include "core/calls/retryafter.h"
#include "core/calls/returningcalls.h"
#include "core/calls/routelimiter.h"
#include "core/calls/trafficsplit.h"
#include "core/rollouts/versionsplit.h"
#include "daemon/calls/callrouter.h"
#include "daemon/calls/ingress.h"
#include "daemon/calls/ingresscall.h"

#include <atomic>

namespace Galenahill {

using RunningCallList = boost::intrusive::list<IngressCall,
    boost::intrusive::member_hook<IngressCall, decltype(IngressCall::runningHook), &IngressCall::runningHook>,
    boost::intrusive::constant_time_size<false>>;

// The steps of a call in the ingress: ingress.cpp accepts it, ingressidentify.cpp
// identifies the caller, ingressadmission.cpp admits it,
// ingressrouting.cpp selects targets, ingressattempt.cpp sends it to one of them,
// ingressreplacement.cpp also offers it to another one if that takes long, and
// ingressresponse.cpp builds and reports the final response.
class Ingress::Private
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , router({.node = options.node,
              .dataCentre = options.dataCentre,
              .seed = options.seed,
              .policy = options.policy,
              .retryBudget = options.retryBudget,
              .calledServices = [this](const RouteName &route) -> const std::vector<ServiceName> & { return guard.calledServices(route); },
              .quarantine = options.quarantine})
        , versions(options.seed)
        , retryAfter(options.seed)
        , guard({.seed = options.seed})
    {
    }

    // What the fields for the sidecar say about one attempt.
    struct AttemptTerms
    {
        bool mayWait = false;
        bool isRetry = false;
        // Canary version that the attempt goes to; null if none.
        const CanaryVersion *canary = nullptr;
    };

    Options options;
    CallRouter router;
    TrafficSplit split;
    VersionSplit versions;
    RetryAfter retryAfter;
    PriorityInversionGuard guard;
    ReturningCalls returningCalls{{}};
    AttemptTimeoutPolicy attemptTimeouts;
    RouteLimiter routeLimiter{{}};
    std::atomic<std::uint64_t> retriesMade = 0;
    std::atomic<std::uint64_t> shedCalls = 0;
    std::atomic<std::uint64_t> quarantinedCalls = 0;
    std::atomic<std::uint64_t> returnedCalls = 0;
    std::atomic<std::uint64_t> callsWithoutTime = 0;
    std::atomic<std::uint64_t> attemptsReplaced = 0;
    std::atomic<std::uint64_t> replacementsRejected = 0;
    std::atomic<std::uint64_t> replacementsUnused = 0;
    std::atomic<std::uint64_t> responsesEndedEarly = 0;
    std::shared_ptr<const RoutingView> view;
    std::uint64_t nextCall = 1;
    // Calls that have a route and are not answered yet.
    RunningCallList running;
    bool callsEnded = false;

    void assignVersion(IngressCall &call);
    void setDeadlines(IngressCall &call, const HttpRequest &request);
    void recogniseReturn(IngressCall &call);
    std::optional<RunningCall> parentOf(const CallId &id) const;
    CallerIdentity::Status identify(IngressCall &call, HttpRequest &request, const std::optional<RunningCall> &parent) const;
    CallOrigin originOf(const IngressCall &call, const std::optional<RunningCall> &parent) const;
    bool mayHaveUnknownParent(const IngressCall &call) const;
    HttpResponse rejectCaller(const IngressCall &call, CallerIdentity::Status status) const;
    void reportCustomer(const IngressCall &call, const HttpResponse &response) const;
    asio::awaitable<HttpResponse> admit(IngressCall &call);
    asio::awaitable<HttpResponse> admitWithinLimit(IngressCall &call);
    HttpResponse overLimit(IngressCall &call, const TokenDecision &denied) const;
    asio::awaitable<void> waitForEndReports(IngressCall &call);
    asio::awaitable<HttpResponse> route(IngressCall &call);
    asio::awaitable<Attempt> attempt(IngressCall &call, Offer offer);
    asio::awaitable<Attempt> attemptWithReplacement(IngressCall &call, const MemberRecord &target);
    void offerReplacementAt(IngressCall &call, const std::shared_ptr<AttemptReplacement> &replacement, TimePoint time);
    asio::awaitable<void> offerReplacements(IngressCall &call, std::shared_ptr<AttemptReplacement> replacement);
    asio::awaitable<void> sendReplacement(IngressCall &call, AttemptReplacement &replacement, const MemberRecord &target);
    static const AttemptConnection *respondingConnection(const IngressCall &call);
    Attempt endReplacement(IngressCall &call, AttemptReplacement &replacement, Attempt first);
    asio::awaitable<Attempt> send(IngressCall &call, HttpRequest &request, const MemberRecord &target, AttemptConnection &connection);
    asio::awaitable<Result<HttpResponse>> sendToSidecar(
        const IngressCall &call, HttpRequest &request, const MemberRecord &target, AttemptConnection &connection, std::unique_ptr<BodySource> &remainingBody);
    void recordResponse(IngressCall &call, const MemberRecord &target, AttemptResult result, const HttpResponse &response);
    void setSidecarFields(const IngressCall &call, HttpRequest &request, const AttemptTerms &attemptTerms) const;
    bool isShed(IngressCall &call);
    bool endForStop(IngressCall &call);
    HttpResponse rejection(IngressCall &call);
    HttpResponse quarantineRejection(IngressCall &call);
    HttpResponse finalResponse(IngressCall &call, Attempt last);
    void recordEarlyEnd(IngressCall &call, const StreamResult &result, HttpResponse &response);
    void report(const IngressCall &call, const HttpResponse &response) const;
    void reportUnrouted(const IngressCall &call, unsigned status, std::string reason) const;
};

}
