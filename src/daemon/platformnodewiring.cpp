// Constructs the components of a PlatformNode and connects them by callbacks.

#include "adapters/codec/binarycodec.h"
#include "core/config/configlimits.h"
#include "core/fleet/rendezvous.h"
#include "daemon/platformnode_p.h"
#include "daemon/quarantinelog.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Bodies of calls and responses are streamed, so this limit bounds time rather than
// memory.
constexpr std::uint64_t MaxCallBodyBytes = std::uint64_t(1) << 30;

constexpr std::uint64_t BytesPerMegabit = 125000;

// Limits for one call body that the ingress buffers, and for all of them together.
// Callers' uploads have up to some hundred kilobytes; the smallest VMs have 160 MB.
constexpr std::size_t BufferedBodyBytes = 512 * 1024;
constexpr std::size_t AllBufferedBodiesBytes = 24 * 1024 * 1024;

// Largest header that a node accepts, whatever the configuration says: each connection
// that sends one holds it in memory.
constexpr std::uint32_t MaxHeaderBytes = 64 * 1024;

// Space for the header fields that nodes add to a call, each of them short; names of
// routes and services have up to 100 characters.
constexpr std::uint32_t ForwardedFieldBytes = 2048;

// A response contains a whole configuration document; the store accepts no larger one.
constexpr std::uint64_t MaxControlBodyBytes = std::uint64_t(8) << 20;

// Time to connect to another node or the target. A round trip takes a few milliseconds;
// recovery from a lost packet takes longer than this, and trying another target is faster.
constexpr Milliseconds ConnectTimeout{300};

// Time after which a kept connection with unacknowledged data counts as dead: many round
// trips, and no more than any call's latency objective, which is at least half a second.
constexpr Milliseconds UnackedTimeout{500};

// Datagrams between nodes carry up to eight member records.
constexpr std::size_t MaxDatagramBytes = 8192;

// Time that a watcher waits for its watch of the store to return a newer revision before
// it pulls that from a member: more than the watch's pause after a change, and together
// with the pull within the two seconds that a change may take.
constexpr Milliseconds WatchGracePeriod{800};

// Members of each data centre that watch the store: enough that some survive a mass
// failure. The other members pull deltas from them.
constexpr std::uint32_t WatchersPerDataCentre = 4;

// Time after its start for which a node does not watch: while it knows no other member,
// it would select itself as the only watcher.
constexpr Milliseconds WatchStartDelay{1000};

// Deltas cached for further peers; most nodes request the same one.
constexpr std::size_t CachedDeltaCount = 2;

// Revisions kept as bases of deltas: more than are accepted in the time that a change
// takes to reach every node.
constexpr std::size_t DeltaBaseCount = 3;

// Time between two probes of gone members: a fleet of a dozen nodes checks about once a
// second for members that came back, as after a partition while the store is unavailable.
constexpr Milliseconds ReconnectInterval{1000};

constexpr Milliseconds PullTimeout{1500};

// A target counts as not ready after four missed heartbeats in a row and a margin. A
// target that is merely delayed for seconds must stay ready.
constexpr int MissedHeartbeats = 4;
constexpr Milliseconds HeartbeatMargin{2000};

// Orders the members where only some of them have a part of the slack for retries.
constexpr const char *RetryRole = "retries";

std::uint64_t wallClockIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count());
}

MemberRecord selfRecord(const PlatformNodeSettings &settings)
{
    MemberRecord record;
    record.name = settings.name;
    record.dataCentre = settings.dataCentre;
    record.service = settings.service;
    record.address = settings.peers.address;
    record.ingressPort = settings.ingress.port;
    record.sidecarPort = settings.sidecar.port;
    record.controlPort = settings.peers.port;
    record.linkMbps = settings.linkMbps;
    record.incarnation = wallClockIncarnation();
    return record;
}

// The target's concurrency limit says how many calls it runs, and the latency
// objective says how long calls may wait.
CallPolicy callPolicy()
{
    CallPolicy policy;
    policy.adaptive = false;
    policy.byUrgency = true;
    return policy;
}

}

PlatformNode::Private::Private(asio::io_context &ioContext, Options given)
    : context(ioContext)
    , options(std::move(given))
    , settings(options.settings)
    , log(options.log)
    , connectionLog(log)
    , self(selfRecord(settings))
    , seed(self.incarnation ^ std::hash<std::string>{}(self.address))
    , client(context, clientOptions())
    , store(options.openStore(client))
    , exchange(exchangeOptions())
    , datagrams(context, datagramOptions())
    , quarantine(quarantineOptions())
    , retryShare({.retriesPerCall = settings.retryShare, .slack = settings.retrySlack, .window = settings.retryWindow, .started = startTime})
    , limits(limitOptions())
    , ingress(ingressOptions())
    , sidecar(sidecarOptions())
    , loads(loadOptions())
    , targetService(targetOptions())
    , rollouts(rolloutOptions())
    , fleet(fleetOptions())
    , storeMonitor(storeMonitorOptions())
    , configWatcher(configWatcherOptions())
    , directory(directoryOptions())
    , ingressServer(context, ingressServerOptions())
    , sidecarServer(context, sidecarServerOptions())
    , registrationServer(context,
          {.endpoint = settings.registration, .handler = [this](HttpRequest request, ServerConnection &) { return targetService.handle(std::move(request)); }})
    , readinessServer(context, {.endpoint = settings.readiness, .handler = [this](HttpRequest, ServerConnection &) { return answerReadiness(); }})
    , peerServer(context, {.endpoint = settings.peers, .handler = [this](HttpRequest request, ServerConnection &) { return answerPeer(std::move(request)); }})
    , metricsServer(
          context, {.endpoint = settings.metrics, .handler = [this](HttpRequest request, ServerConnection &) { return answerPeer(std::move(request)); }})
    , ticker(context)
{
}

HttpClient::Options PlatformNode::Private::clientOptions() const
{
    HttpClient::Options clientOptions;
    clientOptions.maxBodyBytes = MaxControlBodyBytes;
    clientOptions.connectTimeout = ConnectTimeout;
    clientOptions.unackedTimeout = UnackedTimeout;
    clientOptions.keepAliveProbes = true;
    return clientOptions;
}

HttpServer::Options PlatformNode::Private::callServerOptions(const Endpoint &endpoint, HttpServer::Handler handler) const
{
    HttpServer::Options serverOptions;
    serverOptions.endpoint = endpoint;
    serverOptions.handler = std::move(handler);
    serverOptions.limits.bodyBytes = MaxCallBodyBytes;
    serverOptions.streamBodies = true;
    return serverOptions;
}

HttpServer::Options PlatformNode::Private::ingressServerOptions()
{
    auto serverOptions = callServerOptions(settings.ingress, [this](auto request, auto &connection) { return ingress.handle(std::move(request), connection); });
    // A buffered body can be sent to another target after one that rejected it.
    serverOptions.bufferedBodyBytes = BufferedBodyBytes;
    serverOptions.totalBufferedBytes = AllBufferedBodiesBytes;
    serverOptions.mayPipeline = [this](const HttpRequest &request) { return ingress.mayPipeline(request); };
    serverOptions.connectionEnded = [this](const ConnectionEnd &end) { connectionLog.ended("ingress", end); };
    return serverOptions;
}

HttpServer::Options PlatformNode::Private::sidecarServerOptions()
{
    auto serverOptions = callServerOptions(settings.sidecar, [this](auto request, auto &connection) { return sidecar.handle(std::move(request), connection); });
    serverOptions.peersWaitForContinue = true;
    serverOptions.connectionEnded = [this](const ConnectionEnd &end) { connectionLog.ended("sidecar", end); };
    return serverOptions;
}

RevisionExchange::Options PlatformNode::Private::exchangeOptions()
{
    return {.state = state,
        .client = client,
        .log = log,
        .timeLimit = PullTimeout,
        .maxCached = CachedDeltaCount,
        .maxBases = DeltaBaseCount,
        .build = [this](ConfigBundle bundle) -> Result<std::shared_ptr<const ConfigRevision>> {
            if (bundle.files.size() != 1) {
                return failure(ErrorKind::Corrupt, "revision: expected exactly one document; check that all nodes run the same version");
            }
            return makeRevision(std::move(bundle.files.front().text), options.decodeConfig);
        }};
}

DatagramSocket::Options PlatformNode::Private::datagramOptions()
{
    return {.endpoint = settings.peers,
        .received = [this](const Endpoint &from, const std::string &bytes) { datagramReceived(from, bytes); },
        .maxDatagramBytes = MaxDatagramBytes};
}

Quarantine::Options PlatformNode::Private::quarantineOptions()
{
    return {.self = self,
        .seed = seed,
        .send = [this](const Endpoint &to, const QuarantineMessage &message) { datagrams.send(to, encode(message)); },
        .changed = [this](const QuarantineChange &change) { logQuarantineChange(log, change); }};
}

CustomerLimits::Options PlatformNode::Private::limitOptions()
{
    return {.context = context,
        .self = self,
        .seed = seed,
        .firstStart = settings.firstStart,
        .log = log,
        .send = [this](const Endpoint &to, const LeaseMessage &message) { datagrams.send(to, encode(message)); }};
}

Ingress::Options PlatformNode::Private::ingressOptions()
{
    return {.client = client,
        .node = settings.name,
        .dataCentre = settings.dataCentre,
        .seed = seed,
        .policy = callPolicy(),
        .headerNames = options.headerNames,
        .callerService = settings.service,
        .retryBudget = retryShare.budget(Clock::now()),
        .localSidecar = settings.sidecar,
        .callLocalSidecar = [this](HttpRequest request, ServerConnection &connection) { return sidecar.handle(std::move(request), connection); },
        .runningCall = [this](std::string_view id) { return sidecar.running(id); },
        .parentsKnownFrom = settings.firstStart ? TimePoint() : Clock::now() + ConfigLimits::MaxTimeout,
        .nestedCallMade = [this](const RouteName &route, const ServiceName &service) { sidecar.nestedCallMade(route, service); },
        .acquireToken = [this](const CustomerName &customer) { return limits.acquire(customer); },
        .releaseToken = [this](const CustomerName &customer, const TokenDecision &granted) { limits.release(customer, granted); },
        .quarantine = &quarantine,
        .callEnded
        = [this](const RouteDefinition &route, CallResult result, std::chrono::microseconds latency) { metrics.record(route, result, latency, Clock::now()); },
        .customerCallEnded = [this](const CustomerName &customer, CustomerEvent event) { customers.add(customer, event); },
        .callReported = [this](const CallReport &call) { logCall(call); }};
}

std::uint64_t PlatformNode::Private::bytesSentOnLink() const
{
    std::uint64_t bytes = client.bytesSentOnLink() + datagrams.sentBytes();
    for (const auto *server : {&ingressServer, &sidecarServer, &registrationServer, &readinessServer, &peerServer, &metricsServer}) {
        bytes += server->bytesSentOnLink();
    }
    return bytes;
}

Sidecar::Options PlatformNode::Private::sidecarOptions()
{
    return {.context = context,
        .client = client,
        .service = settings.service,
        .target = settings.target,
        .healthPath = {},
        .log = log,
        .policy = callPolicy(),
        .headerNames = options.headerNames,
        .link = {.bytesPerSecond = std::uint64_t(settings.linkMbps) * BytesPerMegabit},
        .stateChanged = [](MemberState) {},
        .sentBytes = [this] { return bytesSentOnLink(); },
        .targetUnreachable = [this] { targetService.targetUnreachable(); },
        .quarantine = &quarantine,
        .targetLeaving = [this](const std::string &id, std::int64_t startedAt) { targetService.targetLeaving(id, startedAt); },
        .callEnded = [this](const RouteName &route, TargetResult end, std::chrono::microseconds time) { rollouts.callEnded(route, end, time); },
        .stageEnded = [this](CallStage stage, std::chrono::microseconds time) { stageEnded(stage, time); }};
}

TargetService::Options PlatformNode::Private::targetOptions()
{
    return {.context = context,
        .client = client,
        .registration = {.address = settings.target,
            .service = settings.service,
            .firstStart = settings.firstStart,
            .heartbeatTimeout = MissedHeartbeats * settings.heartbeatInterval + HeartbeatMargin},
        .decode = options.decodeTarget,
        .healthPath = [this] { return healthPath(); },
        .targetIdField = options.headerNames.targetId,
        .log = log,
        .responded = [this](const HttpResponse &response, TimePoint sentAt) { sidecar.targetResponded(response, sentAt); },
        .rateLimitAge = [this] { return sidecar.rateLimiter().limit() ? std::optional(sidecar.rateLimiter().age(Clock::now())) : std::nullopt; },
        .changed = [this](const TargetAnnouncement &target, MemberState newState) { targetChanged(target, newState); }};
}

RolloutService::Options PlatformNode::Private::rolloutOptions()
{
    return {.context = context,
        .store = *store,
        .kind = options.rolloutKind,
        .decode = options.decodeRollout,
        .encodeStatus = options.encodeRolloutStatus,
        .self = self,
        .seed = seed,
        .exposureShare = settings.rolloutExposure,
        .firstStart = settings.firstStart,
        .log = log,
        .send = [this](const Endpoint &to, const RolloutReport &report) { datagrams.send(to, encode(report)); },
        .targetIdle = [this] { return sidecar.idle(); },
        .rulesChanged = [this] { applyVersionRules(); },
        .stopping = stopping};
}

FleetControlOptions PlatformNode::Private::fleetOptions()
{
    FleetControlOptions fleetOptions;
    fleetOptions.self = self;
    fleetOptions.seed = seed;
    fleetOptions.state = state;
    fleetOptions.log = log;
    fleetOptions.send = [this](const Endpoint &to, const GossipMessage &message) { datagrams.send(to, encode(message)); };
    fleetOptions.publishView = [this](std::shared_ptr<const RoutingView> view) {
        const auto members = state->members();
        retryShare.setMembers(members.size(), rendezvousRank(RetryRole, self, members), Clock::now());
        ingress.setRetryBudget(retryShare.budget(Clock::now()));
        limits.setConfig(view->config);
        ingress.setView(view);
        loads.setMembers(state->members());
        quarantine.setMembers(state->members());
        storeMonitor.setMembers(state->members());
        rollouts.setMembers(state->members());
        sidecar.setView(view);
        // The store may not hold a configuration yet.
        if (view->config) {
            customers.setConfig(view->config->snapshot);
            applyCallerLimits(view->config->snapshot->callerLimits());
        }
    };
    fleetOptions.membersChanged = [this](const std::vector<MemberRecord> &members) { limits.setMembers(members); };
    fleetOptions.revisionAdopted = [this](const auto &revision) { exchange.addBase(*revision); };
    fleetOptions.pull = [this](const Endpoint &peer) { asio::co_spawn(context, pull(peer), asio::detached); };
    fleetOptions.watchGracePeriod = WatchGracePeriod;
    fleetOptions.watchers = WatchersPerDataCentre;
    fleetOptions.reconnectInterval = ReconnectInterval;
    return fleetOptions;
}

LoadExchange::Options PlatformNode::Private::loadOptions()
{
    return {.self = self,
        .seed = seed,
        .interval = settings.loadReportInterval,
        .localTargetLoad = [this] { return sidecar.load(); },
        .send = [this](const Endpoint &to, const LoadReport &report) { datagrams.send(to, encode(report)); },
        .targetLoadReceived
        = [this](const NodeName &target, TargetLoad load, Milliseconds wait, TimePoint observed) { ingress.targetLoadReceived(target, load, wait, observed); },
        .poolLoadReceived = [this](const PoolReport &pool, TimePoint observed) { ingress.poolLoadReceived(pool, observed); }};
}

// Other nodes forward calls with further header fields beside the caller's, and may
// keep their connections open as long as they like.
void PlatformNode::Private::applyCallerLimits(const CallerLimits &limits)
{
    auto effectiveLimits = limits;
    effectiveLimits.headerBytes = std::min(limits.headerBytes, MaxHeaderBytes);
    ingressServer.setLimits(effectiveLimits);
    sidecarServer.setLimits({.headerBytes = effectiveLimits.headerBytes + ForwardedFieldBytes, .bodyBytes = MaxCallBodyBytes});
}

StoreMonitor::Options PlatformNode::Private::storeMonitorOptions()
{
    return {.context = context,
        .freshness = {.self = self, .seed = seed, .watchers = WatchersPerDataCentre, .started = startTime},
        .log = log,
        .check = [this](ObjectVersion known) { return configWatcher.check(known); },
        .rereads = [this] { return configWatcher.failing(); },
        .revision = [this] { return state->revisions.revision(); },
        .revisionAdvertised = [this](const Endpoint &member, Revision revision) { fleet.revisionAdvertised(member, revision); },
        .send = [this](const Endpoint &to, const StoreReading &reading) { datagrams.send(to, encode(reading)); },
        .stopping = stopping};
}

ConfigWatcher::Options PlatformNode::Private::configWatcherOptions()
{
    return {.context = context,
        .store = *store,
        .kind = options.configKind,
        .name = options.configName,
        .decode = options.decodeConfig,
        .seed = seed,
        .log = log,
        .revisionFound = [this](std::shared_ptr<const ConfigRevision> revision, RevisionSource source) { fleet.revisionReceived(revision, source); },
        .storeAnswered = [this](Revision revision) { fleet.storeAnswered(revision); },
        .storeFailed =
            [this] {
                fleet.storeFailed();
                storeMonitor.storeFailed();
            },
        .storeRead = [this](ObjectVersion version, TimePoint asOf, bool all) { storeMonitor.storeRead(version, asOf, all); },
        .shouldWatch = [this] { return (state->watchesStore || storeMonitor.standsIn()) && Clock::now() - startTime >= WatchStartDelay; },
        .stopping = stopping};
}

MemberDirectory::Options PlatformNode::Private::directoryOptions()
{
    return {.context = context,
        .store = *store,
        .client = client,
        .self = self,
        .firstStart = settings.firstStart,
        .seeds = settings.seeds,
        .seed = seed,
        .log = log,
        .storedMembersReceived = [this](const std::vector<MemberRecord> &members) { fleet.storedMembersReceived(members); },
        .membersReceived = [this](const std::vector<MemberRecord> &members) { fleet.membersReceived(members); },
        .peerAddresses = [this] { return fleet.peerAddresses(); },
        .isKnown = [this](const NodeName &member) { return fleet.knows(member); },
        .shouldSweep = [this] { return state->maintainsContacts.load(); },
        .stopping = stopping};
}

}
