// Constructs the components of a Node and connects them by callbacks.

#include "adapters/codec/binarycodec.h"
#include "daemon/controlactor.h"
#include "daemon/controlmessages.h"
#include "daemon/node_p.h"
#include "daemon/quarantinelog.h"

namespace Galenahill {

namespace {

// Bodies of calls and responses are streamed, so this limit bounds time rather than
// memory.
constexpr std::uint64_t MaxCallBodyBytes = std::uint64_t(1) << 30;

// A response contains a whole revision.
constexpr std::uint64_t MaxControlBodyBytes = std::uint64_t(64) << 20;

std::uint64_t wallClockIncarnation()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

std::int64_t wallClockSeconds()
{
    return static_cast<std::int64_t>(std::chrono::system_clock::to_time_t(std::chrono::system_clock::now()));
}

}

Node::Private::Private(Options options)
    : settings(std::move(options.settings))
    , log(std::move(options.log))
    , state(std::make_shared<NodeState>())
    , self(selfRecord())
    , store(std::move(options.openStore))
    , repository({.store = store,
          .inForce = [this] { return state->revisions.current(); },
          .highestKnownRevision = [this] { return Revision(state->highestKnownRevision); },
          .now = wallClockSeconds})
    , budgetedStore({.store = store, .budget = {.seed = self.incarnation ^ std::hash<std::string>{}(self.address)}, .stopping = state->stopping})
    , backgroundRepository({.store = budgetedStore,
          .inForce = [this] { return state->revisions.current(); },
          .highestKnownRevision = [this] { return Revision(state->highestKnownRevision); },
          .now = wallClockSeconds})
    , headWatcher(headWatcherOptions())
    , links(settings.linkFaults ? std::make_unique<LinkFilter>(self.incarnation) : nullptr)
    , controlClient(controlContext, clientOptions(MaxControlBodyBytes))
    , exchange({.state = state, .client = controlClient, .log = log})
    , datagrams(controlContext,
          {.endpoint = self.control(),
              .received =
                  [this](const Endpoint &from, std::string bytes) {
                      if (!links || links->passes(from.address)) {
                          datagramReceived(from, std::move(bytes));
                      }
                  },
              .dropPercent = settings.dropPercent})
    , controlService({.context = controlContext,
          .state = state,
          .repository = repository,
          .exchange = exchange,
          .counters = [this] { return counters(); },
          .metrics = metrics,
          .customers = customers,
          .revisionAccepted =
              [this](auto revision) {
                  sendToControl(RevisionReceived{std::move(revision), RevisionSource::Operator});
              }})
    , controlServer(controlContext,
          {.endpoint = self.control(), .handler = [this](HttpRequest request, ServerConnection &) { return handleControl(std::move(request)); }})
    , dataClient(dataContext, clientOptions(MaxCallBodyBytes))
    , quarantine({.self = self,
          .seed = self.incarnation,
          .send = [this](const Endpoint &to, const QuarantineMessage &message) { sendDatagram(to, encode(message)); },
          .changed = [this](const QuarantineChange &change) { logQuarantineChange(log, change); }})
    , limits({.context = dataContext,
          .self = self,
          .seed = self.incarnation,
          .log = log,
          .send = [this](const Endpoint &to, const LeaseMessage &message) { sendDatagram(to, encode(message)); }})
    , ingress({.client = dataClient,
          .node = settings.name,
          .dataCentre = settings.dataCentre,
          .seed = self.incarnation,
          .policy = options.calls,
          .acquireToken = [this](const CustomerName &customer) { return limits.acquire(customer); },
          .releaseToken = [this](const CustomerName &customer, const TokenDecision &granted) { limits.release(customer, granted); },
          .quarantine = &quarantine,
          .callEnded
          = [this](
                const RouteDefinition &route, CallResult result, std::chrono::microseconds latency) { metrics.record(route, result, latency, Clock::now()); },
          .customerCallEnded = [this](const CustomerName &customer, CustomerEvent event) { customers.add(customer, event); }})
    , sidecar({.context = dataContext,
          .client = dataClient,
          .service = settings.service,
          .target = settings.target,
          .healthPath = settings.healthPath,
          .log = log,
          .policy = options.calls,
          .stateChanged = [this](MemberState newState) { sendToControl(TargetStateChanged{newState}); },
          .quarantine = &quarantine})
    , ingressServer(dataContext,
          {.endpoint = {settings.address, settings.ingressPort},
              .handler = [this](HttpRequest request, ServerConnection &connection) { return ingress.handle(std::move(request), connection); },
              .limits = {.bodyBytes = MaxCallBodyBytes},
              .streamBodies = true,
              .mayPipeline = [this](const HttpRequest &request) { return ingress.mayPipeline(request); },
              .connectionEnded = [this](const ConnectionEnd &end) { connectionLog.ended("ingress", end); }})
    , sidecarServer(dataContext,
          {.endpoint = self.sidecar(),
              .handler = [this](HttpRequest request, ServerConnection &connection) { return sidecar.handle(std::move(request), connection); },
              .limits = {.bodyBytes = MaxCallBodyBytes},
              .streamBodies = true,
              .peersWaitForContinue = true,
              .connectionEnded = [this](const ConnectionEnd &end) { connectionLog.ended("sidecar", end); }})
{
}

MemberRecord Node::Private::selfRecord() const
{
    MemberRecord record;
    record.name = settings.name;
    record.dataCentre = settings.dataCentre;
    record.service = settings.service;
    record.address = settings.address;
    record.ingressPort = settings.ingressPort;
    record.sidecarPort = settings.sidecarPort;
    record.controlPort = settings.controlPort;
    record.incarnation = wallClockIncarnation();
    return record;
}

HttpClient::Options Node::Private::clientOptions(std::uint64_t maxBodyBytes) const
{
    HttpClient::Options options;
    options.maxBodyBytes = maxBodyBytes;
    if (links) {
        options.reachable = [this](const Endpoint &endpoint) { return links->connects(endpoint.address); };
    }
    return options;
}

FleetControlOptions Node::Private::controlOptions()
{
    FleetControlOptions options;
    options.self = self;
    options.seed = self.incarnation ^ std::hash<NodeName>{}(self.name);
    options.state = state;
    options.log = log;
    options.prefer = settings.prefer;
    options.fanOut = settings.fanOut;
    options.watchers = settings.watchers;
    options.send = [this](const Endpoint &to, const GossipMessage &message) { sendDatagram(to, encode(message)); };
    options.membersChanged = [this](const std::vector<MemberRecord> &members) {
        asio::post(dataContext, [this, members] {
            limits.setMembers(members);
            quarantine.setMembers(members);
        });
    };
    options.publishView = [this](std::shared_ptr<const RoutingView> view) {
        asio::post(dataContext, [this, view = std::move(view)] {
            if (view->config) {
                customers.setConfig(view->config->snapshot);
            }
            limits.setConfig(view->config);
            ingress.setView(view);
            sidecar.setView(view);
            state->routesCalls = view->config != nullptr;
        });
    };
    options.revisionAdopted = [this](const auto &revision) { asio::post(controlContext, [this, revision] { exchange.addBase(*revision); }); };
    options.pull = [this](const Endpoint &peer) { asio::co_spawn(controlContext, pull(peer), asio::detached); };
    return options;
}

HeadWatcher::Options Node::Private::headWatcherOptions()
{
    return {.store = budgetedStore,
        .repository = backgroundRepository,
        .state = state,
        .log = log,
        .revisionFound =
            [this](auto revision) {
                sendToControl(RevisionReceived{std::move(revision), RevisionSource::StoreWatch});
            },
        .storeAnswered = [this](Revision revision) { sendToControl(StoreAnswered{revision}); },
        .storeFailed = [this] { sendToControl(StoreFailed{}); }};
}

ContactMaintainer::Options Node::Private::contactMaintainerOptions()
{
    return {.store = budgetedStore,
        .repository = repository,
        .state = state,
        .self = self,
        .seeds = settings.seeds,
        .log = log,
        .seed = self.incarnation ^ std::hash<std::string>{}(self.address),
        .joinThrough = [this](const Endpoint &contact) { return joinThrough(contact); },
        .checkHead = [this] { headWatcher.check(); }};
}

}
