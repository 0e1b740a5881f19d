#pragma once

#include "adapters/http/httpclient.h"
#include "adapters/http/httpserver.h"
#include "core/calls/calldialect.h"
#include "core/calls/callpolicy.h"
#include "core/calls/linkschedule.h"
#include "core/calls/routingview.h"
#include "core/calls/runningcall.h"
#include "core/fleet/loadexchange.h"
#include "core/fleet/memberrecord.h"
#include "core/fleet/targetregistration.h"
#include "core/rollouts/versioncounts.h"
#include "core/rollouts/versionrule.h"
#include "ports/logger.h"

#include <functional>
#include <memory>
#include <string_view>

namespace Galenahill {

// Parts of a call's way of which the time is measured.
enum class CallStage {
    // From its arrival at the ingress to its final answer.
    Whole,
    // Waiting in the sidecar's line for a slot.
    Line,
    // From the offer of a large body until it is here.
    Body,
    // From the sidecar to the target and back.
    Target,
};

// The only door to the target beside this node. It alone knows how many calls
// the target has in flight. Used on the data thread only.
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
        // Names of the fields that the target uses.
        CallDialect dialect;
        // The VM's link, as far as bodies from other nodes need it.
        LinkSchedule::Options link;
        // The target began or ceased to take calls.
        std::function<void(MemberState)> stateChanged;
        // The target refused a connection or broke one before its answer, so
        // that it may have ended. May be null.
        std::function<void()> targetLost;
        // The target ended a call of the route after that time. May be null.
        std::function<void(const RouteName &route, TargetEnd end, std::chrono::microseconds time)> targetEnded;
        // A call has left the stage after that time. May be null.
        std::function<void(CallStage stage, std::chrono::microseconds time)> stageEnded;
    };

    explicit Sidecar(Options options);
    ~Sidecar();

    // Starts to ask the target how it is. Not for a target that announces
    // itself.
    void start();

    // Takes the state of a target that announces itself, and the calls that it
    // runs at a time. From the moment at which this returns, no further call
    // is sent to a target that doesn't take any.
    void announced(const TargetAnnouncement &target, MemberState state);

    // What a rollout says of the service's targets; none: nothing. From the moment at
    // which this returns, the target gets no further call that the rule forbids.
    void setVersionRule(const std::optional<VersionRule> &rule);

    void setView(const std::shared_ptr<const RoutingView> &view);

    // Handles one call that an ingress passed on.
    asio::awaitable<HttpResponse> handle(HttpRequest request, ServerConnection &connection);

    // Refuses every further call; those in flight finish.
    void drain();

    std::uint32_t inFlight() const;

    // The target's load as far as other calls than those of a trial matter; a limit of
    // zero if it takes none.
    OwnLoad load() const;

    // Whether no call runs at the target, and none waits.
    bool idle() const;

    // A run of a call of the route has made a call to the service.
    void runCalled(const RouteName &route, const ServiceName &service);

    // The call of that id, as its caller named it, if the target is running it.
    std::optional<RunningCall> running(std::string_view id) const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
