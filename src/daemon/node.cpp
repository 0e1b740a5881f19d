#include "daemon/node_p.h"

#include "adapters/codec/binarycodec.h"
#include "adapters/http/blockinghttpclient.h"
#include "daemon/controlactor.h"
#include "daemon/controlmessages.h"

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

// Size of an HTTP message on the wire.
template <typename Message>
std::uint64_t wireBytes(const Message &message)
{
    std::ostringstream header;
    header << message.base();
    return static_cast<std::uint64_t>(header.tellp()) + message.body().size();
}

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

void Node::Private::sendDatagram(const Endpoint &to, std::string bytes)
{
    if (!links || links->passes(to.address)) {
        datagrams.send(to, std::move(bytes));
    }
}

// Messages about customers' limits and quarantined requests go to the data thread, which uses them.
void Node::Private::datagramReceived(const Endpoint &from, std::string bytes)
{
    const auto logRejection = [&](const Error &error) { log(LogLevel::Warning, "datagram-refused", {{"from", toString(from)}, {"reason", error.message}}); };
    asio::post(dataContext, [this] { limits.heard(); });
    if (isLeaseMessage(bytes)) {
        auto message = decodeLeaseMessage(bytes);
        message ? asio::post(dataContext, [this, from, message = std::move(*message)] { limits.messageReceived(from, message); })
                : logRejection(message.error());
    } else if (isQuarantineMessage(bytes)) {
        auto message = decodeQuarantineMessage(bytes);
        message ? asio::post(dataContext, [this, from, message = std::move(*message)] { quarantine.messageReceived(from, message, Clock::now()); })
                : logRejection(message.error());
    } else {
        sendToControl(DatagramReceived{from, std::move(bytes)});
    }
}

asio::awaitable<void> Node::Private::tick()
{
    asio::steady_timer timer(dataContext);
    for (;;) {
        limits.tick();
        quarantine.tick(Clock::now());
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
        sendToControl(RevisionReceived{std::move(*revision), RevisionSource::Member});
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
    asio::co_spawn(d->dataContext, d->tick(), asio::detached);
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
        d->ingress.prepareToStop(Clock::now() + LingerTime + d->settings.drainTimeout);
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
