#pragma once

#include "adapters/http/httpclient.h"
#include "adapters/http/httpserver.h"
#include "core/calls/callheadernames.h"
#include "core/calls/callpolicy.h"
#include "core/calls/linkschedule.h"
#include "core/calls/routingview.h"
#include "core/calls/runningcall.h"
#include "core/calls/targetratelimiter.h"
#include "core/fleet/loadexchange.h"
#include "core/fleet/memberrecord.h"
#include "core/fleet/targetregistration.h"
#include "core/quarantine/quarantine.h"
#include "core/rollouts/versioncounts.h"
#include "core/rollouts/versionrule.h"
#include "ports/logger.h"

#include <functional>
#include <memory>
#include <string_view>

namespace Galenahill {

class ResponseSender;

// Stages of a call whose latency is measured.
enum class CallStage {
    // From the call's arrival at the ingress to its final response.
    Total,
    // Waiting in the sidecar's queue for a slot.
    Queue,
    // From the offer of a large body until the sidecar has received all of it.
    Body,
    // From the request to the target to its response.
    Target,
    // Waiting in the sidecar until the outbound link can take the call's large response.
    Link,
};

// Forwards calls to the local target. All calls to the target pass through it, so it alone knows how
// many are in flight. Used on the data thread only.
class Sidecar
{
public:
    struct Options
    {
        asio::io_context &context;
        HttpClient &client;
        ServiceName service;
        Endpoint target;
        std::string healthPath;
        Logger log;
        CallPolicy policy;
        // Names of the header fields that the target uses.
        CallHeaderNames headerNames;
        // The VM's link, on which large bodies arrive from other nodes and large responses are sent to them.
        LinkSchedule::Options link;
        // Called when the target starts or stops accepting calls.
        std::function<void(MemberState)> stateChanged;
        // Bytes that the node has sent on its link. If empty, large responses get a fixed share of it.
        std::function<std::uint64_t()> sentBytes;
        // Called when the target cannot be reached, so that it may have exited. May be null.
        std::function<void()> targetUnreachable;
        // Requests under which targets ended, with the end of the local target reported to it. May be null.
        Quarantine *quarantine = nullptr;
        // Called when the target with that id and start time states in a response that it is leaving. May be null.
        std::function<void(const std::string &id, std::int64_t startedAt)> targetLeaving;
        // Called when a call of the route ends at the target, with its duration there. May be null.
        std::function<void(const RouteName &route, TargetResult result, std::chrono::microseconds time)> callEnded;
        // Called when a call leaves the stage, with the time that it spent there. May be null.
        std::function<void(CallStage stage, std::chrono::microseconds time)> stageEnded;
    };

    explicit Sidecar(Options options);
    ~Sidecar();

    // Starts health checks of the target. Not for a target that announces itself.
    void start();

    // Sets the state and the slots of a target that announces itself. Once this returns, no further
    // call is sent to a target that accepts none.
    void targetAnnounced(const TargetAnnouncement &target, MemberState state);

    // Processes what the target states about itself in a response to a health check.
    void targetResponded(const HttpResponse &response, TimePoint sentAt);

    // Sets the rule of the service's rollout, or none. Once this returns, the target gets no further
    // call that the rule forbids.
    void setVersionRule(const std::optional<VersionRule> &rule);

    void setView(const std::shared_ptr<const RoutingView> &view);

    // Handles one call that an ingress forwarded.
    asio::awaitable<HttpResponse> handle(HttpRequest request, ServerConnection &connection);

    // Rejects all further calls; calls in flight finish.
    void drain();

    std::uint32_t inFlight() const;

    // Number of slots that top-level calls leave to nested calls.
    std::uint32_t reservedSlots() const;

    // Number of calls that were sent to the target, and of those that its rate limit kept from it.
    std::uint64_t callsSent() const;
    std::uint64_t rateLimitedCalls() const;

    // The large responses on the VM's outbound link.
    const ResponseSender &responseSender() const;

    // Number of customers above their fair share of the target, and of calls that were rejected for
    // want of a slot while their customer was.
    std::size_t customersAboveShare() const;
    std::uint64_t rejectedAboveShare() const;

    // The rate limit that the target states.
    const TargetRateLimiter &rateLimiter() const;

    // The target's load, with a limit of zero if it accepts no calls, or only those of a canary.
    LocalTargetLoad load() const;

    // Whether no call is running at the target or waiting for it.
    bool idle() const;

    // Records that the target, while it ran a call of the route, made a nested call to the service.
    void nestedCallMade(const RouteName &route, const ServiceName &service);

    // Returns the call with the id that its caller gave it, if the target is running it.
    std::optional<RunningCall> running(std::string_view id) const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
