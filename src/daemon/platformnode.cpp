#include "daemon/platformnode.h"

#include "adapters/codec/binarycodec.h"
#include "adapters/http/httpclient.h"
#include "adapters/http/httpserver.h"
#include "adapters/udp/datagramsocket.h"
#include "core/calls/latencyhistogram.h"
#include "daemon/fleetcontrol.h"
#include "daemon/ingress.h"
#include "daemon/memberdirectory.h"
#include "daemon/metricstext.h"
#include "daemon/revisionexchange.h"
#include "daemon/sidecar.h"

#include <algorithm>
#include <array>

namespace Galenahill {

namespace {

// Bodies of calls and their answers pass through in parts, so that this
// bounds time rather than memory.
constexpr std::uint64_t MaxCallBodyBytes = std::uint64_t(1) << 30;

// A whole configuration document in one answer; the store takes no larger one.
constexpr std::uint64_t MaxControlBodyBytes = std::uint64_t(8) << 20;

// Time to connect to another node or the target. Round trips take a few
// milliseconds; one lost packet more than this, and another target is nearer.
constexpr Milliseconds ConnectTimeout{300};

// A kept connection whose bytes stay unacknowledged is dead: many round trips,
// and less than any call's objective of half a second and more.
constexpr Milliseconds UnackedTimeout{500};

// Datagrams between nodes carry up to eight member records.
constexpr std::size_t MaxDatagramBytes = 8192;

// Time that a watcher's own watch of the store has before a newer revision is
// fetched from a member: more than the watch's pause after a change, and with
// the fetch itself within the two seconds that a change may take.
constexpr Milliseconds WatcherPatience{800};

// Members of each data centre that watch the store. With eight of them in four
// data centres, a third of all nodes cut from the store leaves some that aren't
// but once in some thousand times.
constexpr std::uint32_t Watchers = 2;

// Revisions held: the one in force, and the ones before it as bases of deltas.
constexpr std::size_t HeldRevisions = 3;

// Deltas kept for the next peers; most nodes ask for the same one.
constexpr std::size_t CachedDeltas = 2;

// Members that came back, as from a partition while the store is out, are
// looked for about once a second in a fleet of a dozen.
constexpr Milliseconds ReviveInterval{1000};

constexpr Milliseconds PullTimeout{1500};

// A target counts as gone after four announcements in a row were missed; one
// that is held up for seconds must not be.
constexpr int MissedHeartbeats = 4;
constexpr Milliseconds LateHeartbeat{2000};

// Share of the fleet's budget for repeats that its nodes use: they don't agree
// on it call by call, so each keeps below its part.
constexpr double BudgetShare = 0.65;
constexpr double LeastRepeats = 1.5;

// A planned stop. Callers are told by the readiness address, which the platform
// asks once a second and believes after two misses. The target goes on working
// meanwhile, so other nodes are told later.
constexpr Milliseconds ServeTargetTime{1300};
constexpr Milliseconds LeaveTime{1800};
constexpr Milliseconds LeastStopTime{2300};
constexpr Milliseconds StopMargin{400};
constexpr Milliseconds StopCheckInterval{50};

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
    record.incarnation = wallClockIncarnation();
    return record;
}

// What the target itself takes says how many calls it runs, and the objective
// says how long they may wait.
CallPolicy callPolicy()
{
    CallPolicy policy;
    policy.adaptive = false;
    policy.byUrgency = true;
    return policy;
}

const char *eventOf(CallEnd end)
{
    switch (end) {
    case CallEnd::Answered:
        return "call-answered";
    case CallEnd::TargetFailed:
        return "call-failed";
    case CallEnd::NotRun:
        return "call-refused";
    case CallEnd::OutcomeUnknown:
        return "call-unknown";
    }
    return "call-unknown";
}

}

class PlatformNode::Private
{
public:
    Private(asio::io_context &ioContext, Options given)
        : context(ioContext)
        , options(std::move(given))
        , settings(options.settings)
        , log(options.log)
        , self(selfRecord(settings))
        , seed(self.incarnation ^ std::hash<std::string>{}(self.address))
        , client(context, clientOptions())
        , store(options.openStore(client))
        , exchange(exchangeOptions())
        , datagrams(context, datagramOptions())
        , ingress(ingressOptions())
        , sidecar(sidecarOptions())
        , targetService(targetOptions())
        , fleet(fleetOptions())
        , follower(followerOptions())
        , directory(directoryOptions())
        , ingressServer(
              context, callServerOptions(settings.ingress, [this](auto request, auto &connection) { return ingress.handle(std::move(request), connection); }))
        , sidecarServer(
              context, callServerOptions(settings.sidecar, [this](auto request, auto &connection) { return sidecar.handle(std::move(request), connection); }))
        , registrationServer(context,
              {.endpoint = settings.registration,
                  .handler = [this](HttpRequest request, ServerConnection &) { return targetService.handle(std::move(request)); }})
        , readinessServer(context, {.endpoint = settings.readiness, .handler = [this](HttpRequest, ServerConnection &) { return answerReadiness(); }})
        , peerServer(
              context, {.endpoint = settings.peers, .handler = [this](HttpRequest request, ServerConnection &) { return answerPeer(std::move(request)); }})
        , metricsServer(
              context, {.endpoint = settings.metrics, .handler = [this](HttpRequest request, ServerConnection &) { return answerPeer(std::move(request)); }})
        , ticker(context)
    {
    }

    asio::io_context &context;
    Options options;
    PlatformNodeSettings settings;
    Logger log;
    MemberRecord self;
    std::uint64_t seed;
    bool stopping = false;
    bool wasReady = false;
    std::shared_ptr<NodeState> state = std::make_shared<NodeState>(HeldRevisions);
    ServiceLevelMetrics metrics;
    // By CallStage.
    std::array<LatencyHistogram, 3> stages;
    HttpClient client;
    std::unique_ptr<DocumentStore> store;
    RevisionExchange exchange;
    DatagramSocket datagrams;
    Ingress ingress;
    Sidecar sidecar;
    TargetService targetService;
    FleetControl fleet;
    ConfigFollower follower;
    MemberDirectory directory;
    HttpServer ingressServer;
    HttpServer sidecarServer;
    HttpServer registrationServer;
    HttpServer readinessServer;
    HttpServer peerServer;
    HttpServer metricsServer;
    asio::steady_timer ticker;

    HttpClient::Options clientOptions() const;
    HttpServer::Options callServerOptions(const Endpoint &endpoint, HttpServer::Handler handler) const;
    RevisionExchange::Options exchangeOptions();
    DatagramSocket::Options datagramOptions();
    Ingress::Options ingressOptions();
    Sidecar::Options sidecarOptions();
    TargetService::Options targetOptions();
    FleetControlOptions fleetOptions();
    ConfigFollower::Options followerOptions();
    MemberDirectory::Options directoryOptions();
    RetryBudget::Options retryBudget(std::size_t members) const;

    asio::awaitable<void> tick();
    bool ready() const;
    asio::awaitable<HttpResponse> answerReadiness();
    asio::awaitable<HttpResponse> answerPeer(HttpRequest request);
    NodeGauges gauges() const;
    std::string stageText() const;
    void stageEnded(CallStage stage, std::chrono::microseconds time);
    std::string healthPath() const;
    void report(const CallReport &call);
    asio::awaitable<void> pull(Endpoint peer);
    asio::awaitable<void> stopGracefully();
    asio::awaitable<void> sleep(Milliseconds time);
    std::size_t inFlight() const;
};

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
    serverOptions.maxBodyBytes = MaxCallBodyBytes;
    serverOptions.streamBodies = true;
    return serverOptions;
}

RevisionExchange::Options PlatformNode::Private::exchangeOptions()
{
    return {.state = state,
        .client = client,
        .log = log,
        .timeLimit = PullTimeout,
        .maxCached = CachedDeltas,
        .build = [this](ConfigBundle bundle) -> Result<std::shared_ptr<const ConfigRevision>> {
            if (bundle.files.size() != 1) {
                return failure(ErrorKind::Corrupt, "revision: not one document; check that all nodes run the same version");
            }
            return revisionOf(bundle.files.front().text, options.decodeConfig);
        }};
}

DatagramSocket::Options PlatformNode::Private::datagramOptions()
{
    return {.endpoint = settings.peers,
        .received = [this](const Endpoint &from, const std::string &bytes) { fleet.datagramReceived(from, bytes); },
        .maxDatagramBytes = MaxDatagramBytes};
}

RetryBudget::Options PlatformNode::Private::retryBudget(std::size_t members) const
{
    const auto slack = settings.repeatSlack * BudgetShare / static_cast<double>(std::max<std::size_t>(members, 1));
    return {.perCall = settings.repeatShare * BudgetShare, .most = std::max(LeastRepeats, slack)};
}

Ingress::Options PlatformNode::Private::ingressOptions()
{
    return {.client = client,
        .node = settings.name,
        .dataCentre = settings.dataCentre,
        .seed = seed,
        .policy = callPolicy(),
        .dialect = options.dialect,
        .callerService = settings.service,
        .retries = retryBudget(1),
        .ownSidecar = settings.sidecar,
        .askOwnSidecar = [this](HttpRequest request, ServerConnection &connection) { return sidecar.handle(std::move(request), connection); },
        .ownTargetRuns = [this](std::string_view id) { return sidecar.runs(id); },
        .callEnded
        = [this](const RouteDefinition &route, CallEnd end, std::chrono::microseconds latency) { metrics.record(route, end, latency, Clock::now()); },
        .callReported = [this](const CallReport &call) { report(call); }};
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
        .dialect = options.dialect,
        .stateChanged = [](MemberState) {},
        .targetLost = [this] { targetService.targetLost(); },
        .stageEnded = [this](CallStage stage, std::chrono::microseconds time) { stageEnded(stage, time); }};
}

TargetService::Options PlatformNode::Private::targetOptions()
{
    return {.context = context,
        .client = client,
        .registration = {.address = settings.target,
            .service = settings.service,
            .firstStart = settings.firstStart,
            .silence = MissedHeartbeats * settings.heartbeatInterval + LateHeartbeat},
        .decode = options.decodeTarget,
        .healthPath = [this] { return healthPath(); },
        .targetIdField = options.dialect.targetId,
        .log = log,
        .changed =
            [this](const TargetAnnouncement &target, MemberState newState) {
                sidecar.announced(target, newState);
                fleet.targetStateChanged(newState);
            }};
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
        ingress.setRetryBudget(retryBudget(state->members().size()));
        ingress.setView(view);
        sidecar.setView(view);
    };
    fleetOptions.pull = [this](const Endpoint &peer) { asio::co_spawn(context, pull(peer), asio::detached); };
    fleetOptions.watcherPatience = WatcherPatience;
    fleetOptions.watchers = Watchers;
    fleetOptions.reviveInterval = ReviveInterval;
    return fleetOptions;
}

ConfigFollower::Options PlatformNode::Private::followerOptions()
{
    return {.context = context,
        .store = *store,
        .kind = options.configKind,
        .name = options.configName,
        .decode = options.decodeConfig,
        .seed = seed,
        .log = log,
        .found = [this](std::shared_ptr<const ConfigRevision> revision) { fleet.revisionReceived(revision); },
        .storeAnswered = [this](Revision revision) { fleet.storeAnswered(revision); },
        .storeFailed = [this] { fleet.storeFailed(); },
        .watches = [this] { return state->watchesStore.load(); },
        .stopping = stopping};
}

MemberDirectory::Options PlatformNode::Private::directoryOptions()
{
    return {.context = context,
        .store = *store,
        .client = client,
        .self = self,
        .seeds = settings.seeds,
        .seed = seed,
        .log = log,
        .found = [this](const std::vector<MemberRecord> &members) { fleet.membersReceived(members); },
        .others = [this] { return fleet.otherAddresses(); },
        .stopping = stopping};
}

PlatformNode::PlatformNode(asio::io_context &context, Options options)
    : d(std::make_unique<Private>(context, std::move(options)))
{
}

PlatformNode::~PlatformNode() = default;

Result<void> PlatformNode::start()
{
    for (auto *server : {&d->readinessServer, &d->registrationServer, &d->peerServer, &d->sidecarServer, &d->ingressServer}) {
        if (const auto listening = server->listen(); !listening) {
            return listening;
        }
    }
    if (d->settings.metrics.port != 0) {
        if (const auto listening = d->metricsServer.listen(); !listening) {
            return listening;
        }
    }
    if (const auto opened = d->datagrams.open(); !opened) {
        return opened;
    }
    d->follower.start();
    d->directory.start();
    asio::co_spawn(d->context, d->tick(), asio::detached);
    d->log(LogLevel::Info,
        "started",
        {{"address", d->self.address},
            {"service", d->settings.service.value()},
            {"data_centre", d->settings.dataCentre.value()},
            {"first_start", d->settings.firstStart}});
    return {};
}

asio::awaitable<void> PlatformNode::Private::sleep(Milliseconds time)
{
    asio::steady_timer timer(context, time);
    ErrorCode ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> PlatformNode::Private::tick()
{
    for (;;) {
        fleet.tick();
        targetService.tick();
        if (ready() != wasReady) {
            wasReady = ready();
            log(LogLevel::Info, "readiness", {{"ready", wasReady}, {"revision", state->revisions.revision().value()}, {"others", fleet.others()}});
        }
        ErrorCode ignored;
        ticker.expires_after(FleetControl::TickInterval);
        co_await ticker.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

bool PlatformNode::Private::ready() const
{
    const bool configured = state->revisions.revision() > Revision();
    return !stopping && configured && fleet.open() && directory.consulted();
}

asio::awaitable<HttpResponse> PlatformNode::Private::answerReadiness()
{
    co_return ready() ? makeResponse(http::status::ok, "text/plain", "ready")
                      : makeErrorResponse(http::status::service_unavailable, "not-ready", stopping ? "this node stops" : "this node is starting");
}

std::string PlatformNode::Private::healthPath() const
{
    const auto current = state->revisions.current();
    const auto *service = current ? current->snapshot->service(settings.service) : nullptr;
    return service == nullptr ? ServiceDefinition().healthPath : service->healthPath;
}

std::string PlatformNode::Private::stageText() const
{
    constexpr const char *Labels[] = {"stage=\"whole\"", "stage=\"line\"", "stage=\"target\""};
    std::string text = "# TYPE galenahill_stage_milliseconds histogram\n";
    for (std::size_t stage = 0; stage < stages.size(); ++stage) {
        text += stages[stage].text("galenahill_stage_milliseconds", Labels[stage]);
    }
    return text;
}

NodeGauges PlatformNode::Private::gauges() const
{
    return {{"revision_in_force", static_cast<double>(state->revisions.revision().value())},
        {"members_live", static_cast<double>(fleet.others() + 1)},
        {"ready", ready() ? 1 : 0},
        {"target_ready", targetService.state() == MemberState::Ready ? 1 : 0},
        {"target_calls_running", sidecar.inFlight()},
        {"store_calls", static_cast<double>(store->calls())},
        {"call_retries", static_cast<double>(ingress.retries())},
        {"datagram_bytes", static_cast<double>(datagrams.bytes())},
        {"client_bytes", static_cast<double>(client.bytes())}};
}

asio::awaitable<HttpResponse> PlatformNode::Private::answerPeer(HttpRequest request)
{
    const auto target = request.target();
    if (request.method() == http::verb::get && target == "/members") {
        co_return makeResponse(http::status::ok, "application/octet-stream", encode(state->members()));
    }
    constexpr boost::beast::string_view ConfigPrefix = "/config?base=";
    if (request.method() == http::verb::get && target.starts_with(ConfigPrefix)) {
        co_return exchange.serve(std::string(target.substr(ConfigPrefix.size())));
    }
    if (request.method() == http::verb::get && target == "/metrics") {
        co_return makeResponse(http::status::ok, "text/plain; version=0.0.4", metricsText(gauges(), metrics.report(Clock::now())) + stageText());
    }
    co_return makeErrorResponse(http::status::not_found, "not-found", "this address has /config, /members and /metrics");
}

asio::awaitable<void> PlatformNode::Private::pull(Endpoint peer)
{
    const auto revision = co_await exchange.pull(peer);
    if (revision) {
        fleet.revisionReceived(*revision);
    } else {
        log(LogLevel::Warning, "pull-failed", {{"peer", toString(peer)}, {"reason", revision.error().message}});
    }
    fleet.pullEnded(peer);
}

void PlatformNode::Private::stageEnded(CallStage stage, std::chrono::microseconds time)
{
    stages[static_cast<std::size_t>(stage)].add(time);
}

void PlatformNode::Private::report(const CallReport &call)
{
    stageEnded(CallStage::Whole, call.latency);
    const bool plain = call.end == CallEnd::Answered && call.asked <= 1;
    log(plain ? LogLevel::Debug : LogLevel::Info,
        call.cancelled ? "call-cancelled" : eventOf(call.end),
        {{"id", call.id.value()},
            {"route", call.route.value()},
            {"service", call.service.value()},
            {"revision", call.revision.value()},
            {"status", call.status},
            {"target", call.target.value()},
            {"asked", call.asked},
            {"sent", call.sent},
            {"ms", static_cast<double>(call.latency.count()) / 1000},
            {"left_ms", call.timeLeft.count()},
            {"told_wait_ms", call.toldWait ? call.toldWait->count() : -1},
            {"for_running_call", call.forRunningCall},
            {"caller", call.caller},
            {"reason", call.reason}});
}

void PlatformNode::reload(const PlatformNodeSettings &settings)
{
    d->settings.seeds = settings.seeds;
    const bool moved = settings.ingress != d->settings.ingress || settings.sidecar != d->settings.sidecar || settings.peers != d->settings.peers;
    d->log(LogLevel::Info, "reloaded", {{"seeds", settings.seeds.size()}, {"needs_restart", moved}});
}

std::size_t PlatformNode::Private::inFlight() const
{
    return ingressServer.requestsInFlight() + sidecarServer.requestsInFlight();
}

void PlatformNode::stop()
{
    if (!d->stopping) {
        asio::co_spawn(d->context, d->stopGracefully(), asio::detached);
    }
}

asio::awaitable<void> PlatformNode::Private::stopGracefully()
{
    const auto begin = Clock::now();
    stopping = true;
    log(LogLevel::Info, "stopping", {{"in_flight", inFlight()}});
    ingressServer.closeAfterAnswers();
    asio::co_spawn(context, directory.withdraw(), asio::detached);
    co_await sleep(ServeTargetTime);
    fleet.leave();
    co_await sleep(LeaveTime - ServeTargetTime);
    sidecar.drain();
    sidecarServer.closeAfterAnswers();
    co_await sleep(LeastStopTime - LeaveTime);
    // Callers that haven't noticed would keep the node from ever being idle,
    // and the last of them would be cut off at the end of the time.
    ingressServer.drain();
    ingressServer.closeIdle();
    const auto until = begin + settings.stopTimeout - StopMargin;
    while (inFlight() > 0 && Clock::now() < until) {
        co_await sleep(StopCheckInterval);
    }
    log(inFlight() > 0 ? LogLevel::Error : LogLevel::Info, "stopped", {{"in_flight", inFlight()}});
    context.stop();
}

}
