#pragma once

#include "adapters/http/httpclient.h"
#include "adapters/http/httpserver.h"
#include "core/calls/calldialect.h"
#include "core/calls/callpolicy.h"
#include "core/calls/loadreport.h"
#include "core/calls/retrybudget.h"
#include "core/calls/routingview.h"
#include "core/calls/runningcall.h"
#include "core/calls/servicelevelmetrics.h"
#include "core/calls/targetpicker.h"
#include "ports/logger.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace Galenahill {

// What became of one call and why, for the log.
struct CallReport
{
    CallId id;
    RouteName route;
    CallType type = CallType::NonIdempotent;
    ServiceName service;
    // The version under test that the call was assigned to; empty: none.
    TargetVersion version;
    Revision revision;
    CallEnd end = CallEnd::NotRun;
    unsigned status = 0;
    // The last target asked, and how many were asked and were sent the call.
    NodeName target;
    std::size_t asked = 0;
    std::uint32_t sent = 0;
    std::chrono::microseconds latency{0};
    // Time left when the answer was given.
    Milliseconds timeLeft{0};
    // Shortest wait for a slot that a sidecar told.
    std::optional<Milliseconds> toldWait;
    bool cancelled = false;
    // Whether a running call of the target beside this node waited for it.
    bool forRunningCall = false;
    // Address that the call came from.
    std::string caller;
    std::string reason;
};

// Takes calls from callers, finds the route and the target, and passes each
// call to the sidecar beside that target. Used on the data thread only.
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
        // Names of the fields that callers and targets use.
        CallDialect dialect;
        // Service of the VM on which this node's callers run.
        ServiceName callerService;
        // Repeats of what may have run, for each service.
        RetryBudget::Options retries;
        // The sidecar of this node, which needs no connection, and where others
        // reach it. Null: all sidecars are reached over the network.
        Endpoint ownSidecar;
        std::function<asio::awaitable<HttpResponse>(HttpRequest request, ServerConnection &connection)> askOwnSidecar;
        // The call of that id, if the target beside this node is running it. May
        // be null.
        std::function<std::optional<RunningCall>(std::string_view id)> runningCall;
        // A run of a call of the route, by the target beside this node, makes a
        // call to the service. May be null.
        std::function<void(const RouteName &route, const ServiceName &service)> runCalled;
        // A call of a route got its final answer.
        std::function<void(const RouteDefinition &route, CallEnd end, std::chrono::microseconds latency)> callEnded;
        // The same in all detail; may be null.
        std::function<void(const CallReport &report)> callReported;
    };

    explicit Ingress(Options options);
    ~Ingress();

    // Calls that begin from now on use this view.
    void setView(std::shared_ptr<const RoutingView> view);

    // Bounds the repeats for each service from now on.
    void setRetryBudget(RetryBudget::Options options);

    // Another node told the load of a target, or of a service's targets in one
    // data centre, as it was at the time of observation.
    void targetLoadReceived(const NodeName &target, TargetLoad load, Milliseconds wait, TimePoint observed);
    void poolLoadReceived(const PoolReport &pool, TimePoint observed);

    // Handles one call from its request to its final answer.
    asio::awaitable<HttpResponse> handle(HttpRequest request, ServerConnection &connection);

    // Whether the call may run before those ahead of it on its caller's
    // connection are answered.
    bool mayRunAhead(const HttpRequest &request) const;

    // This node is about to stop: no running attempt is given up for another
    // one from now on.
    void stop();

    // Attempts made after a call's first.
    std::uint64_t retries() const;

    // Calls refused for the sake of more urgent ones.
    std::uint64_t shedCalls() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
