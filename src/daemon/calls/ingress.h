#pragma once

#include "adapters/http/httpclient.h"
#include "adapters/http/httpserver.h"
#include "core/calls/callheadernames.h"
#include "core/calls/callpolicy.h"
#include "core/calls/callslack.h"
#include "core/calls/loadreport.h"
#include "core/calls/retrybudget.h"
#include "core/calls/routingview.h"
#include "core/calls/runningcall.h"
#include "core/calls/servicelevelmetrics.h"
#include "core/calls/targetpicker.h"
#include "core/customers/customercounts.h"
#include "core/customers/tokenlessee.h"
#include "core/quarantine/quarantine.h"
#include "ports/logger.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace Galenahill {

// Result of one call and its cause, for the log.
struct CallReport
{
    CallId id;
    // Empty if the call was not identified by a key.
    CustomerName customer;
    RouteName route;
    CallType type = CallType::NonIdempotent;
    ServiceName service;
    // Canary version that the call was assigned to; empty if none.
    TargetVersion version;
    Revision revision;
    CallResult result = CallResult::NotRun;
    unsigned status = 0;
    // The last target that the call was offered to, the number of offers to sidecars, and the number
    // of times that the call was sent to a target.
    NodeName target;
    std::size_t offerCount = 0;
    std::uint32_t attemptsSent = 0;
    // What proves that a call did not run: "ingress" if it was offered to no target, "sidecar" or "target"
    // by the last rejection, "connection" if no sidecar could be reached; empty if there is no such proof.
    std::string notRunBy;
    std::chrono::microseconds latency{0};
    // Time left until the caller's deadline when the response was ready.
    Milliseconds timeLeft{0};
    // Shortest expected wait for a slot that a sidecar reported.
    std::optional<Milliseconds> reportedWait;
    // Wait for a slot at the service's targets as the ingress knew it when it rejected the call, and the
    // delay that it told the caller; empty if the call was not rejected by the ingress.
    std::optional<Milliseconds> backlog;
    std::optional<Milliseconds> retryAfter;
    // How long the call was allowed to wait for slots, and the learnt service time of its route from
    // which that follows; empty if only its objective and deadline limit the wait.
    std::optional<CallSlack::WaitBound> waitBound;
    // How long the caller waited before it returned with this call, and whether that counted.
    Milliseconds waitedBefore{0};
    bool waitCounts = false;
    bool cancelled = false;
    // Number of slow attempts whose replacement at another target responded, and the time from the call's
    // begin to the last such response; number of replacements that were rejected, and of those that
    // reached a target, but did not respond first.
    std::uint32_t replacedAttempts = 0;
    Milliseconds replacedAfter{0};
    std::uint32_t rejectedReplacements = 0;
    std::uint32_t unusedReplacements = 0;
    // Whether this is a nested call of a call that the local target was running.
    bool hasRunningParent = false;
    // Digest of the call's content, and the number of targets known to have ended under it.
    RequestDigest digest;
    std::size_t targetEnds = 0;
    // IP address and port of the caller.
    std::string caller;
    std::uint16_t callerPort = 0;
    std::string reason;
};

// Accepts calls from callers, selects the route and the target, and forwards each call to the
// sidecar of that target. Used on the data thread only.
class Ingress
{
public:
    struct Options
    {
        HttpClient &client;
        NodeName node;
        DataCentre dataCentre;
        std::uint64_t seed = 1;
        CallPolicy policy;
        // Names of the header fields that callers and targets use.
        CallHeaderNames headerNames;
        // Service of this VM, sent along as the service that the calls come from.
        ServiceName callerService;
        // Budget of each service for retries of calls that may have run.
        RetryBudget::Options retryBudget;
        // The sidecar in this process, called without a connection, and the endpoint at which other
        // nodes reach it. If null, every sidecar is called over the network.
        Endpoint localSidecar;
        std::function<asio::awaitable<HttpResponse>(HttpRequest request, ServerConnection &connection)> callLocalSidecar;
        // Returns the call with the given id if the local target is running it. May be null.
        std::function<std::optional<RunningCall>(std::string_view id)> runningCall;
        // Time from which all calls that the local target runs were sent to it by this process.
        TimePoint parentsKnownFrom;
        // Called when the local target, while it runs a call of the route, makes a nested call to the
        // service. May be null.
        std::function<void(const RouteName &route, const ServiceName &service)> nestedCallMade;
        // Takes a token of the customer's limit, and takes back the token of a call that did not run. May
        // be null: then customers have no limit.
        std::function<asio::awaitable<TokenDecision>(const CustomerName &customer)> acquireToken;
        std::function<void(const CustomerName &customer, const TokenDecision &granted)> releaseToken;
        // Requests under which targets ended. May be null.
        const Quarantine *quarantine = nullptr;
        // Called with the result of each call when its final response is ready.
        std::function<void(const RouteDefinition &route, CallResult result, std::chrono::microseconds latency)> callEnded;
        // Called with what became of each call that was identified by the key of a customer, and with an
        // empty name for each call that was rejected because its key is missing or unknown. May be null.
        std::function<void(const CustomerName &customer, CustomerEvent event)> customerCallEnded;
        // Called with the full details of each call. May be null.
        std::function<void(const CallReport &report)> callReported;
    };

    explicit Ingress(Options options);
    ~Ingress();

    // Sets the view for calls that begin from now on; calls in progress keep theirs.
    void setView(std::shared_ptr<const RoutingView> view);

    // Changes the retry budget of each service.
    void setRetryBudget(RetryBudget::Options options);

    // Takes the load of a target, or of all targets of a service in one data centre, that another
    // node observed at the given time.
    void targetLoadReceived(const NodeName &target, TargetLoad load, Milliseconds wait, TimePoint observed);
    void poolLoadReceived(const PoolReport &pool, TimePoint observed);

    // Handles one call and returns its final response.
    asio::awaitable<HttpResponse> handle(HttpRequest request, ServerConnection &connection);

    // Whether a pipelined call may start before earlier calls of its connection have been answered.
    bool mayPipeline(const HttpRequest &request) const;

    // Prepares for the node's shutdown, which ends all calls at that time: no further replacements are offered for slow attempts,
    // and calls that would be cut off aren't sent to targets.
    void prepareToStop(TimePoint callsEnd);

    // Answers the calls that are still running, for a node whose time to stop is over: as not run if no
    // target has got them, otherwise with an unknown outcome. A response that is being sent goes on. Calls
    // that arrive later are rejected. Returns the number of calls ended.
    std::size_t endCalls();

    // The use of the retry budget by service.
    std::map<ServiceName, RetryBudget::Counts> retryCounts() const;

    // Number of attempts after the first attempt of a call.
    std::uint64_t retries() const;

    // Number of slow attempts whose replacement at another target responded, of replacements that were
    // rejected, and of those that reached a target, but did not respond first.
    std::uint64_t attemptsReplaced() const;
    std::uint64_t replacementsRejected() const;
    std::uint64_t replacementsUnused() const;

    // Number of responses that ended early although their callers had not left.
    std::uint64_t responsesEndedEarly() const;

    // Number of calls rejected because targets had ended under their content.
    std::uint64_t quarantinedCalls() const;

    // Number of calls shed in favour of calls of higher priority.
    std::uint64_t shedCalls() const;

    // Number of calls of callers that were rejected before, as far as is known.
    std::uint64_t returnedCalls() const;

    // Number of calls rejected at once because they cannot be answered in the time that they have left.
    std::uint64_t callsWithoutTime() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
