#pragma once

#include "adapters/http/httpclient.h"
#include "adapters/http/httpserver.h"
#include "adapters/udp/datagramsocket.h"
#include "core/calls/latencyhistogram.h"
#include "core/calls/retrybudgetshare.h"
#include "core/customers/customercounters.h"
#include "core/fleet/clockstepdetector.h"
#include "core/quarantine/quarantine.h"
#include "daemon/calls/customerlimits.h"
#include "daemon/calls/ingress.h"
#include "daemon/calls/sidecar.h"
#include "daemon/callservers.h"
#include "daemon/customertext.h"
#include "daemon/fleetcontrol.h"
#include "daemon/memberdirectory.h"
#include "daemon/metricstext.h"
#include "daemon/platformnode.h"
#include "daemon/revisionexchange.h"
#include "daemon/rolloutservice.h"
#include "daemon/storemonitor.h"

#include <array>

namespace Galenahill {

class PlatformNode::Private
{
public:
    Private(asio::io_context &ioContext, Options given);

    asio::io_context &context;
    Options options;
    PlatformNodeSettings settings;
    Logger log;
    ConnectionLog connectionLog;
    MemberRecord self;
    std::uint64_t seed;
    const TimePoint startTime = Clock::now();
    bool stopping = false;
    bool wasReady = false;
    ClockStepDetector clockStepDetector;
    TimePoint lastTrim;
    // When the node handled its periodic work, the last time and the time before.
    TimePoint lastTick = Clock::now();
    TimePoint previousTick = lastTick;
    std::shared_ptr<NodeState> state = std::make_shared<NodeState>();
    ServiceLevelMetrics metrics;
    CustomerCounters customers;
    // Indexed by CallStage.
    std::array<LatencyHistogram, 5> stages;
    HttpClient client;
    std::unique_ptr<DocumentStore> store;
    RevisionExchange exchange;
    DatagramSocket datagrams;
    Quarantine quarantine;
    RetryBudgetShare retryShare;
    CustomerLimits limits;
    Ingress ingress;
    Sidecar sidecar;
    LoadExchange loads;
    TargetService targetService;
    // The state that the target announced, and whether it is published as starting
    // because this node does not know the store's rollouts yet.
    MemberState targetState = MemberState::Starting;
    bool targetWithheld = false;
    RolloutService rollouts;
    FleetControl fleet;
    StoreMonitor storeMonitor;
    ConfigWatcher configWatcher;
    MemberDirectory directory;
    HttpServer ingressServer;
    HttpServer sidecarServer;
    CallServers callServers{ingressServer, sidecarServer, ingress, connectionLog};
    HttpServer registrationServer;
    HttpServer readinessServer;
    HttpServer peerServer;
    HttpServer metricsServer;
    asio::steady_timer ticker;

    HttpClient::Options clientOptions() const;
    HttpServer::Options callServerOptions(const Endpoint &endpoint, HttpServer::Handler handler) const;
    HttpServer::Options ingressServerOptions();
    HttpServer::Options sidecarServerOptions();
    RevisionExchange::Options exchangeOptions();
    DatagramSocket::Options datagramOptions();
    std::uint64_t bytesSentOnLink() const;
    Quarantine::Options quarantineOptions();
    CustomerLimits::Options limitOptions();
    Ingress::Options ingressOptions();
    Sidecar::Options sidecarOptions();
    TargetService::Options targetOptions();
    FleetControlOptions fleetOptions();
    LoadExchange::Options loadOptions();
    RolloutService::Options rolloutOptions();
    void targetChanged(const TargetAnnouncement &target, MemberState newState);
    void publishWithheldTarget();
    void applyVersionRules();
    void applyCallerLimits(const CallerLimits &limits);
    StoreMonitor::Options storeMonitorOptions();
    ConfigWatcher::Options configWatcherOptions();
    MemberDirectory::Options directoryOptions();
    asio::awaitable<void> tick();
    void checkClock();
    void trimConnections();
    void datagramReceived(const Endpoint &from, const std::string &bytes);
    bool ready() const;
    asio::awaitable<HttpResponse> answerReadiness();
    asio::awaitable<HttpResponse> answerPeer(HttpRequest request);
    NodeGauges gauges() const;
    std::string stageMetricsText() const;
    void stageEnded(CallStage stage, std::chrono::microseconds time);
    std::string healthPath() const;
    void logCall(const CallReport &call);
    asio::awaitable<void> pull(Endpoint peer);
    asio::awaitable<void> stopGracefully();
    asio::awaitable<void> endConnections(TimePoint end);
    void endCalls();
    std::size_t inFlight() const;
};

}
