#pragma once

#include "core/calls/calledservices.h"
#include "core/calls/runningcalls.h"
#include "core/quarantine/targetenddetector.h"
#include "core/rollouts/versionguard.h"
#include "daemon/calls/bodyreceiver.h"
#include "daemon/calls/responsesender.h"
#include "daemon/calls/sidecar.h"
#include "daemon/calls/slotqueue.h"
#include "daemon/calls/targetstatements.h"

#include <unordered_map>
#include <unordered_set>

namespace Galenahill {

// The rate limit as it is logged; negative if there is none.
inline double loggedRate(const std::optional<CallsPerSecond> &limit)
{
    return limit ? limit->value() : -1;
}

// sidecar.cpp follows the target's state and admits calls, sidecarforward.cpp sends them to the
// target, sidecartargetend.cpp recognises that it has ended, sidecarquarantine.cpp keeps requests from it under which targets ended, sidecarresponse.cpp
// schedules their large responses, and sidecarrejection.cpp rejects those that the target cannot run.
class Sidecar::Private : public std::enable_shared_from_this<Sidecar::Private>
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , slots(std::make_shared<SlotQueue>(options.context, options.policy))
        , bodyReceiver(options.context, options.link, *slots)
        , responseSender(std::make_shared<ResponseSender>(ResponseSender::Options{
              .context = options.context, .schedule = {.bytesPerSecond = options.link.bytesPerSecond}, .log = options.log, .sentBytes = options.sentBytes}))
        , statements({.headerNames = options.headerNames,
              .log = options.log,
              .rateLimitRead = [this](std::optional<CallsPerSecond> limit, TimePoint sentAt) { updateRateLimit(limit, sentAt); },
              .leavingRead = [this] { targetLeaving(); }})
    {
    }

    Options options;
    std::shared_ptr<SlotQueue> slots;
    BodyReceiver bodyReceiver;
    std::shared_ptr<ResponseSender> responseSender;
    // Routes of the configuration with large responses.
    std::unordered_set<RouteName> largeResponseRoutes;
    TargetStatements statements;
    std::uint64_t callsSent = 0;
    std::uint64_t rateLimitedCalls = 0;
    // Id, start time and slots that the target announced; zero slots if it does not announce itself.
    std::string targetId;
    std::int64_t targetStartedAt = 0;
    std::uint32_t announcedSlots = 0;
    TargetVersion targetVersion;
    VersionGuard guard;
    RunningCalls running;
    TargetEndDetector endDetector;
    // Whether the target is executing a suspect; it executes one at a time.
    bool suspectRunning = false;
    // Whether the target is being watched because of a call that was given up.
    bool watchesAbandoned = false;
    // Services that calls of each route make nested calls to.
    CalledServices calledServices;
    // How the nested calls of each route have ended lately.
    MemberState state = MemberState::Starting;
    std::shared_ptr<const RoutingView> view;

    asio::awaitable<void> probe();
    void updateRateLimit(std::optional<CallsPerSecond> limit, TimePoint sentAt);
    void targetLeaving() const;
    void setState(MemberState newState);
    std::string callIdOf(const HttpRequest &request) const;
    bool keyRevoked(const SlotCall &call) const;
    std::string rejectionReason(const HttpRequest &request) const;
    HttpResponse reject(const std::string &reason) const;
    HttpResponse rejectFull(const SlotCall &call);
    void logRejection(const SlotCall &call, const std::string &reason) const;
    LocalTargetLoad load() const;
    void reportLoad(HttpResponse &response) const;

    asio::awaitable<std::optional<HttpResponse>> bufferBody(HttpRequest &request, SlotCall &call, ServerConnection &connection);
    void rejectWaiting();
    bool usesOutboundLink(const SlotCall &call, const ServerConnection &connection) const;
    asio::awaitable<std::optional<HttpResponse>> waitForLink(SlotCall &call, ServerConnection &connection);
    void reportLinkWait(HttpResponse &response) const;
    asio::awaitable<HttpResponse> sendLarge(
        HttpResponse response, std::unique_ptr<BodySource> rest, const SlotCall &call, AdmissionController::ReleaseReason reason, ServerConnection &connection);
    HttpResponse rejectBody(const SlotCall &call, TimePoint arrival) const;
    void logEarlyEnd(const SlotCall &call, const StreamResult &result, ServerConnection &connection) const;
    std::optional<std::string> quarantineReason(const SlotCall &call) const;
    HttpResponse rejectForQuarantine(const SlotCall &call, const std::string &reason) const;
    asio::awaitable<std::optional<HttpResponse>> waitForSuspects(SlotCall &call, ServerConnection &connection);
    bool isSuspect(const SlotCall &call) const;
    void watchAbandoned();
    asio::awaitable<void> watchAfterAbandoned();
    asio::awaitable<void> checkAbandonedEnd();
    asio::awaitable<void> checkForTargetEnd(TargetEndDetector::Ticket ticket, const SlotCall &call);
    void targetEnded(const char *recognisedBy);
    void reportTargetEnds(HttpResponse &response, const SlotCall &call) const;
    asio::awaitable<HttpResponse> forward(HttpRequest request, SlotCall call, ServerConnection &connection);
};

}
