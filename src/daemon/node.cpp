#include "daemon/node.h"

#include "adapters/codec/binarycodec.h"
#include "adapters/http/blockinghttpclient.h"
#include "adapters/http/httpclient.h"
#include "adapters/http/httpserver.h"
#include "adapters/platform/budgetedstore.h"
#include "adapters/udp/datagramsocket.h"
#include "daemon/actorsystemconfig.h"
#include "daemon/calls/customerlimits.h"
#include "daemon/calls/ingress.h"
#include "daemon/calls/sidecar.h"
#include "daemon/callservers.h"
#include "daemon/contactmaintainer.h"
#include "daemon/controlactor.h"
#include "daemon/controlmessages.h"
#include "daemon/controlservice.h"
#include "daemon/headwatcher.h"
#include "daemon/linkfilter.h"
#include "daemon/revisionexchange.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/write.hpp>
#include <caf/actor_system.hpp>
#include <caf/blocking_actor.hpp>
#include <caf/send.hpp>
#include <future>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace Galenahill {

namespace {

constexpr Milliseconds JoinTimeout{700};

// Time between announcing the stop and rejecting calls, so that most ingress nodes have
// stopped sending calls before the first one is rejected.
constexpr Milliseconds AnnounceTime{300};

// Time for callers to send a last request on an idle connection, which is answered with
// "Connection: close", before the node closes the connection.
constexpr Milliseconds LingerTime{500};

constexpr Milliseconds DrainCheckInterval{10};

// Time for peers to receive the last responses and to close their connections.
constexpr Milliseconds DeliveryTime{1500};

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

// Size of an HTTP message on the wire.
template <typename Message>
std::uint64_t wireBytes(const Message &message)
{
    std::ostringstream header;
    header << message.base();
    return static_cast<std::uint64_t>(header.tellp()) + message.body().size();
}

}

class Node::Private
{
public:
    explicit Private(Options options)
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
              .revisionAccepted = [this](auto revision) { sendToControl(RevisionReceived{std::move(revision)}); }})
        , controlServer(controlContext,
              {.endpoint = self.control(), .handler = [this](HttpRequest request, ServerConnection &) { return handleControl(std::move(request)); }})
        , dataClient(dataContext, clientOptions(MaxCallBodyBytes))
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
              .callEnded = [this](const RouteDefinition &route,
                               CallResult result,
                               std::chrono::microseconds latency) { metrics.record(route, result, latency, Clock::now()); },
              .customerCallEnded = [this](const CustomerName &customer, CustomerEvent event) { customers.add(customer, event); }})
        , sidecar({.context = dataContext,
              .client = dataClient,
              .service = settings.service,
              .target = settings.target,
              .healthPath = settings.healthPath,
              .log = log,
              .policy = options.calls,
              .stateChanged = [this](MemberState newState) { sendToControl(TargetStateChanged{newState}); }})
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

    NodeSettings settings;
    Logger log;
    // Used on the data thread.
    ConnectionLog connectionLog{log};
    std::shared_ptr<NodeState> state;
    MemberRecord self;
    ServiceLevelMetrics metrics;
    CustomerCounters customers;

    asio::io_context controlContext{1};
    asio::io_context dataContext{1};
    DocumentObjectStore store;
    ConfigRepository repository;
    BudgetedStore budgetedStore;
    // For the node's background work; operators' requests use `repository`.
    ConfigRepository backgroundRepository;
    HeadWatcher headWatcher;
    std::unique_ptr<LinkFilter> links;
    HttpClient controlClient;
    RevisionExchange exchange;
    DatagramSocket datagrams;
    ControlService controlService;
    HttpServer controlServer;
    HttpClient dataClient;
    CustomerLimits limits;
    Ingress ingress;
    Sidecar sidecar;
    HttpServer ingressServer;
    HttpServer sidecarServer;
    CallServers callServers{ingressServer, sidecarServer, ingress, connectionLog};

    ActorSystemConfig systemConfig;
    std::unique_ptr<caf::actor_system> system;
    caf::actor control;
    // Bytes sent and received to fetch member lists from contacts.
    std::atomic<std::uint64_t> joinBytes = 0;
    std::thread controlThread;
    std::thread dataThread;

    MemberRecord selfRecord() const;
    HttpClient::Options clientOptions(std::uint64_t maxBodyBytes) const;
    asio::awaitable<HttpResponse> handleControl(HttpRequest request);
    std::string counters() const;
    Result<void> listen();
    void startActors();
    FleetControlOptions controlOptions();
    ContactMaintainer::Options contactMaintainerOptions();
    HeadWatcher::Options headWatcherOptions();
    void datagramReceived(const Endpoint &from, std::string bytes);
    void sendDatagram(const Endpoint &to, std::string bytes);
    asio::awaitable<void> tickLimits();
    bool joinThrough(const Endpoint &contact);
    asio::awaitable<void> pull(Endpoint peer);
    std::size_t waitForNone(Milliseconds limit, const std::function<std::size_t()> &count);
    void waitForCalls();

    template <typename Message>
    void sendToControl(Message message)
    {
        caf::anon_send(control, std::move(message));
    }

    // Runs the work on the data thread and waits for its result.
    template <typename Work>
    auto onDataThread(Work work)
    {
        std::packaged_task<decltype(work())()> task(std::move(work));
        auto done = task.get_future();
        asio::post(dataContext, [&task] { task(); });
        return done.get();
    }
};

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

asio::awaitable<HttpResponse> Node::Private::handleControl(HttpRequest request)
{
    if (links && request.target() == "/testing/links") {
        const auto set = links->set(request.body());
        co_return set ? makeResponse(http::status::ok, "text/plain", "") : makeErrorResponse(http::status::bad_request, "invalid", set.error().message);
    }
    co_return co_await controlService.handle(std::move(request));
}

std::string Node::Private::counters() const
{
    const nlohmann::json json = {{"datagram_bytes", datagrams.bytes()},
        {"datagrams", datagrams.datagrams()},
        {"control_http_bytes", controlServer.bytes() + controlClient.bytes()},
        {"pull_bytes", controlClient.bytes()},
        {"join_bytes", joinBytes.load()},
        {"store_calls", store.calls()},
        {"call_retries", ingress.retries()}};
    return json.dump();
}

Result<void> Node::Private::listen()
{
    for (auto *server : {&ingressServer, &sidecarServer, &controlServer}) {
        if (const auto listening = server->listen(); !listening) {
            return listening;
        }
    }
    return datagrams.open();
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
    options.membersChanged = [this](const std::vector<MemberRecord> &members) { asio::post(dataContext, [this, members] { limits.setMembers(members); }); };
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
        .revisionFound = [this](auto revision) { sendToControl(RevisionReceived{std::move(revision)}); },
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

void Node::Private::sendDatagram(const Endpoint &to, std::string bytes)
{
    if (!links || links->passes(to.address)) {
        datagrams.send(to, std::move(bytes));
    }
}

// Messages about customers' limits go to the data thread, which waits for them.
void Node::Private::datagramReceived(const Endpoint &from, std::string bytes)
{
    asio::post(dataContext, [this] { limits.heard(); });
    if (!isLeaseMessage(bytes)) {
        sendToControl(DatagramReceived{from, std::move(bytes)});
    } else if (auto message = decodeLeaseMessage(bytes)) {
        asio::post(dataContext, [this, from, message = std::move(*message)] { limits.messageReceived(from, message); });
    } else {
        log(LogLevel::Warning, "datagram-refused", {{"from", toString(from)}, {"reason", message.error().message}});
    }
}

asio::awaitable<void> Node::Private::tickLimits()
{
    asio::steady_timer timer(dataContext);
    for (;;) {
        limits.tick();
        ErrorCode ignored;
        timer.expires_after(FleetControl::TickInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

bool Node::Private::joinThrough(const Endpoint &contact)
{
    if (links && !links->connects(contact.address)) {
        return false;
    }
    HttpRequest request(http::verb::get, "/members", 11);
    request.set(http::field::host, toString(contact));
    joinBytes += wireBytes(request);
    const auto response = blockingExchange(contact, std::move(request), JoinTimeout, &state->stopping);
    if (!response || response->result() != http::status::ok) {
        return false;
    }
    joinBytes += wireBytes(*response);
    auto members = decodeMembers(response->body());
    if (!members) {
        log(LogLevel::Warning, "members-refused", {{"from", toString(contact)}, {"reason", members.error().message}});
        return false;
    }
    sendToControl(MembersReceived{std::move(*members)});
    return true;
}

asio::awaitable<void> Node::Private::pull(Endpoint peer)
{
    auto revision = co_await exchange.pull(peer);
    if (revision) {
        sendToControl(RevisionReceived{std::move(*revision)});
    } else {
        log(LogLevel::Warning, "pull-failed", {{"peer", toString(peer)}, {"reason", revision.error().message}});
    }
    sendToControl(PullEnded{peer});
}

void Node::Private::startActors()
{
    system = std::make_unique<caf::actor_system>(systemConfig);
    control = system->spawn(controlActor, controlOptions());
    system->spawn<caf::detached>([this](caf::blocking_actor *) { headWatcher.run(); });
    system->spawn<caf::detached>([this](caf::blocking_actor *) { ContactMaintainer(contactMaintainerOptions()).run(); });
}

Node::Node(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

Node::~Node() = default;

Result<void> Node::start()
{
    if (const auto listening = d->listen(); !listening) {
        return listening;
    }
    d->startActors();
    d->sidecar.start();
    asio::co_spawn(d->dataContext, d->tickLimits(), asio::detached);
    d->controlThread = std::thread([this] {
        const auto guard = asio::make_work_guard(d->controlContext);
        d->controlContext.run();
    });
    d->dataThread = std::thread([this] {
        const auto guard = asio::make_work_guard(d->dataContext);
        d->dataContext.run();
    });
    d->log(LogLevel::Info, "started", {{"address", d->settings.address}, {"service", d->settings.service.value()}});
    return {};
}

// Waits until the count is zero; returns what is left when the time is up.
std::size_t Node::Private::waitForNone(Milliseconds limit, const std::function<std::size_t()> &count)
{
    const auto until = Clock::now() + limit;
    auto left = onDataThread(count);
    for (; left > 0 && Clock::now() < until; left = onDataThread(count)) {
        std::this_thread::sleep_for(DrainCheckInterval);
    }
    return left;
}

void Node::Private::waitForCalls()
{
    const auto left = waitForNone(settings.drainTimeout, [this] { return callServers.unansweredRequests(); });
    if (left > 0) {
        log(LogLevel::Error, "drain-timeout", {{"in_flight", left}});
        onDataThread([this] { return callServers.endCalls(); });
    }
}

void Node::stop()
{
    d->log(LogLevel::Info, "stopping", {});
    d->sendToControl(LeaveFleet{});
    std::this_thread::sleep_for(AnnounceTime);
    d->onDataThread([this] {
        d->connectionLog.logAll();
        d->sidecar.drain();
        d->ingressServer.drain();
        return 0;
    });
    std::this_thread::sleep_for(LingerTime);
    d->waitForCalls();
    d->onDataThread([this] {
        d->sidecarServer.drain();
        return d->callServers.closeIdle();
    });
    d->waitForCalls();
    d->waitForNone(DeliveryTime, [this] { return d->callServers.endCalls() + d->callServers.closeIdle(); });
    d->onDataThread([this] { return d->callServers.logOpenConnections(); });
    d->state->stopping = true;
    d->store.stop();
    d->controlService.stop();
    caf::anon_send_exit(d->control, caf::exit_reason::user_shutdown);
    d->control = nullptr;
    d->system.reset();
    d->controlContext.stop();
    d->dataContext.stop();
    d->controlThread.join();
    d->dataThread.join();
    d->log(LogLevel::Info, "stopped", {});
}

}
