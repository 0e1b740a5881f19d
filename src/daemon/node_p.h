#pragma once

#include "adapters/http/httpclient.h"
#include "adapters/http/httpserver.h"
#include "adapters/platform/budgetedstore.h"
#include "adapters/udp/datagramsocket.h"
#include "core/quarantine/quarantine.h"
#include "daemon/actorsystemconfig.h"
#include "daemon/calls/customerlimits.h"
#include "daemon/calls/ingress.h"
#include "daemon/calls/sidecar.h"
#include "daemon/callservers.h"
#include "daemon/contactmaintainer.h"
#include "daemon/controlservice.h"
#include "daemon/fleetcontrol.h"
#include "daemon/headwatcher.h"
#include "daemon/linkfilter.h"
#include "daemon/node.h"
#include "daemon/revisionexchange.h"

#include <boost/asio/post.hpp>
#include <caf/actor_system.hpp>
#include <caf/send.hpp>
#include <future>
#include <thread>

namespace Galenahill {

// node.cpp runs the node and stops it; nodewiring.cpp constructs its components and connects them by callbacks.
class Node::Private
{
public:
    explicit Private(Options options);

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
    Quarantine quarantine;
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
    asio::awaitable<void> tick();
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

}
