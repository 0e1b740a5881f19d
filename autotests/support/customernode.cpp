#include "customernode.h"

#include "adapters/codec/binarycodec.h"
#include "adapters/udp/datagramsocket.h"
#include "daemon/platformnode.h"
#include "platform/callheadernames.h"
#include "platform/configuration.h"
#include "platform/heartbeat.h"

#include <algorithm>
#include <boost/test/test_tools.hpp>
#include <fmt/format.h>

namespace Galenahill {

namespace {

constexpr const char *IdField = "Galenahill-Request-Id";
constexpr const char *TargetId = "i-1";
constexpr std::uint64_t Incarnation = 7;

PlatformNodeSettings settingsOf(const std::string &address)
{
    PlatformNodeSettings settings;
    settings.name = NodeName("sidecar-1");
    settings.dataCentre = DataCentre("rosario-a");
    settings.service = ServiceName("ventas");
    settings.firstStart = true;
    settings.ingress = {address, 8080};
    settings.sidecar = {address, 8081};
    settings.registration = {address, 8082};
    settings.readiness = {address, 8083};
    settings.peers = {address, 8084};
    settings.target = {address, 9000};
    settings.store = {address, 7000};
    // The target announces itself only once.
    settings.heartbeatInterval = Milliseconds(60000);
    return settings;
}

MemberRecord secondMember(const std::string &address)
{
    MemberRecord record;
    record.name = NodeName("sidecar-2");
    record.dataCentre = DataCentre("rosario-a");
    record.service = ServiceName("correo");
    record.address = address;
    record.ingressPort = 8080;
    record.sidecarPort = 8081;
    record.controlPort = 8084;
    record.incarnation = Incarnation;
    record.state = MemberState::Ready;
    return record;
}

std::string textOf(const HttpRequest &request)
{
    auto text = std::string(request.target()) + "\n";
    for (const auto &field : request) {
        text += std::string(field.name_string()) + ": " + std::string(field.value()) + "\n";
    }
    return text + request.body() + "\n";
}

std::vector<HttpRequest> withId(const std::vector<HttpRequest> &requests, const std::string &id)
{
    std::vector<HttpRequest> found;
    std::copy_if(requests.begin(), requests.end(), std::back_inserter(found), [&](const auto &request) { return request[IdField] == id; });
    return found;
}

CustomerNode::Reply send(const Endpoint &endpoint, const std::string &text)
{
    RawClient caller(endpoint);
    caller.send(text);
    const auto reply = caller.readToEnd().value_or("");
    return {.status = reply.size() > 12 ? std::atoi(reply.c_str() + 9) : 0, .text = reply};
}

template <typename Condition>
void waitFor(const char *what, Condition condition)
{
    const auto end = Clock::now() + TestTimeout;
    while (!condition()) {
        BOOST_REQUIRE_MESSAGE(Clock::now() < end, "timed out waiting for " << what);
        std::this_thread::sleep_for(Milliseconds(10));
    }
}

}

std::string bearer(const std::string &key)
{
    return "Authorization: Bearer " + key + "\r\n";
}

std::string documentWithCustomers(std::uint64_t revision, const std::string &keysOfSur)
{
    return fmt::format(R"({{"version":"r{}","services":[{{"name":"ventas","health-check-path":"/health"}},{{"name":"correo"}}],
"tenants":[{{"name":"sur","api-keys":[{}],"priority":0}},{{"name":"norte","api-keys":["{}"],"priority":3}}],
"virtual-hosts":[{{"host":"h","paths":[
{{"name":"orders","path-prefix":"/orders/","type":"unsafe","timeout-s":20,"priority":2,"service":"ventas"}},
{{"name":"status","path-prefix":"/status/","type":"safe","timeout-s":20,"service":"ventas","anonymous":true}},
{{"name":"mail","path-prefix":"/mail/","type":"safe","timeout-s":20,"priority":1,"service":"correo"}},
{{"name":"news","path-prefix":"/news/","type":"safe","timeout-s":20,"service":"correo","anonymous":true}}]}}]}})",
        revision,
        keysOfSur,
        KeyOfNorte);
}

class CustomerNode::Private
{
public:
    Private(const std::string &nodeAddress, const std::string &memberAddress)
        : settings(settingsOf(nodeAddress))
        , member(secondMember(memberAddress))
        , node(context, nodeOptions())
        , datagrams(context, {.endpoint = member.control(), .received = [this](const Endpoint &from, std::string bytes) { gossip(from, bytes); }})
        , memberServer(
              context, {.endpoint = member.sidecar(), .handler = [this](HttpRequest request, ServerConnection &) { return takeAsMember(std::move(request)); }})
        , target(context, {.endpoint = settings.target, .handler = [this](HttpRequest request, ServerConnection &) { return runAtTarget(std::move(request)); }})
    {
    }

    asio::io_context context{1};
    PlatformNodeSettings settings;
    MemberRecord member;
    MemoryDocumentStore *documents = nullptr;
    std::vector<HttpRequest> targetRequests;
    std::vector<HttpRequest> memberRequests;
    std::string log;
    std::string datagramBytes;
    std::size_t held = 0;
    bool releasing = false;
    PlatformNode node;
    DatagramSocket datagrams;
    HttpServer memberServer;
    HttpServer target;
    std::thread thread;

    PlatformNode::Options nodeOptions()
    {
        return {.settings = settings,
            .headerNames = Platform::callHeaderNames(),
            .configKind = Platform::ConfigKind,
            .configName = Platform::ConfigName,
            .decodeConfig = Platform::decodeConfiguration,
            .decodeTarget = Platform::decodeTargetMessage,
            .openStore =
                [this](HttpClient &) {
                    auto store = std::make_unique<MemoryDocumentStore>(context);
                    documents = store.get();
                    return store;
                },
            .log = [this](LogLevel, std::string_view event, const std::vector<LogField> &fields) { addToLog(event, fields); }};
    }

    void addToLog(std::string_view event, const std::vector<LogField> &fields)
    {
        log += event;
        for (const auto &field : fields) {
            const auto *text = std::get_if<std::string>(&field.value);
            log += " " + field.key + "=" + (text != nullptr ? *text : "");
        }
        log += "\n";
    }

    void gossip(const Endpoint &from, const std::string &bytes)
    {
        datagramBytes += bytes;
        const auto message = isLoadReport(bytes) ? failure(ErrorKind::Invalid, "") : decodeGossip(bytes);
        if (message && message->kind == GossipKind::Ping) {
            datagrams.send(
                from, encode(GossipMessage{.kind = GossipKind::Ack, .sequence = message->sequence, .incarnation = Incarnation, .state = member.state}));
        } else if (message && message->kind == GossipKind::RecordRequest) {
            join();
        }
    }

    void join()
    {
        datagrams.send(
            settings.peers, encode(GossipMessage{.kind = GossipKind::Update, .incarnation = Incarnation, .state = member.state, .updates = {member}}));
    }

    asio::awaitable<HttpResponse> takeAsMember(HttpRequest request)
    {
        memberRequests.push_back(std::move(request));
        co_return makeResponse(http::status::ok, "text/plain", "member");
    }

    // Calls below /orders/hold run until they are released.
    asio::awaitable<HttpResponse> runAtTarget(HttpRequest request)
    {
        const std::string path(request.target());
        const bool isCall = path != "/health";
        if (isCall) {
            targetRequests.push_back(request);
        }
        if (path.starts_with("/orders/hold")) {
            releasing = false;
            ++held;
            while (!releasing) {
                co_await sleepFor(context, Milliseconds(5));
            }
            --held;
        }
        auto response = makeResponse(http::status::ok, "text/plain", "target");
        response.set("Galenahill-Server-Signature", "s");
        response.set("Galenahill-Instance-Id", TargetId);
        response.set(IdField, request[IdField]);
        co_return response;
    }

    // Runs the function on the node's thread and returns its result.
    template <typename Function>
    auto invoke(Function function)
    {
        std::packaged_task<decltype(function())()> task(function);
        auto result = task.get_future();
        asio::post(context, [&task] { task(); });
        return result.get();
    }

    void announceTarget() const
    {
        const auto body
            = fmt::format(R"({{"address":"{}","born":1777078383118,"info":{{"service":"ventas","version":"v1","zone":"rosario-a","concurrency-limit":1}},)"
                          R"("status":{{"state":"ready","sequence":1,"warmup-remaining-s":0}}}})",
                toString(settings.target));
        send(settings.registration,
            fmt::format("PUT /instances/{} HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{}", TargetId, body.size(), body));
    }
};

CustomerNode::CustomerNode(int nodeAddress, int memberAddress)
    : d(std::make_unique<Private>(testAddress(nodeAddress), testAddress(memberAddress)))
{
    d->documents->set(Platform::ConfigKind, Platform::ConfigName, documentWithCustomers(1, fmt::format(R"("{}","{}")", KeyOfSur, SecondKeyOfSur)));
    BOOST_REQUIRE(d->node.start().has_value());
    BOOST_REQUIRE(d->datagrams.open().has_value());
    BOOST_REQUIRE(d->memberServer.listen().has_value());
    BOOST_REQUIRE(d->target.listen().has_value());
    d->thread = std::thread([this] { d->context.run(); });
    d->announceTarget();
    d->join();
    waitFor("both services", [this] { return call("/status/", "start").status == 200 && call("/news/", "start").status == 200; });
}

CustomerNode::~CustomerNode()
{
    d->context.stop();
    d->thread.join();
}

std::string CustomerNode::request(const std::string &path, const std::string &id, const std::string &fields)
{
    return fmt::format("GET {} HTTP/1.1\r\nHost: h\r\n{}: {}\r\nGalenahill-Deadline-Ms: 20000\r\n{}\r\n", path, IdField, id, fields);
}

CustomerNode::Reply CustomerNode::call(const std::string &path, const std::string &id, const std::string &fields)
{
    return send(d->settings.ingress, request(path, id, "Connection: close\r\n" + fields));
}

CustomerNode::Reply CustomerNode::forward(const std::string &path, const std::string &id, const std::string &fields)
{
    return send(d->settings.sidecar,
        request(path, id, "Connection: close\r\nGalenahill-Service: ventas\r\nGalenahill-Route: orders\r\nGalenahill-Timeout-Ms: 20000\r\n" + fields));
}

void CustomerNode::waitForHeld(std::size_t count)
{
    waitFor("calls at the target", [&] { return d->invoke([this] { return d->held; }) == count; });
}

void CustomerNode::release()
{
    d->invoke([this] { return d->releasing = true; });
}

void CustomerNode::store(const std::string &document)
{
    d->invoke([&] {
        d->documents->set(Platform::ConfigKind, Platform::ConfigName, document);
        return true;
    });
}

void CustomerNode::adopt(std::uint64_t revision, const std::string &document)
{
    store(document);
    waitFor("the revision", [&] { return metrics().find(fmt::format("revision_in_force {}\n", revision)) != std::string::npos; });
}

std::string CustomerNode::metrics() const
{
    return send(d->settings.peers, "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").text;
}

std::vector<HttpRequest> CustomerNode::atTarget(const std::string &id)
{
    return d->invoke([&] { return withId(d->targetRequests, id); });
}

std::vector<HttpRequest> CustomerNode::atMember(const std::string &id)
{
    return d->invoke([&] { return withId(d->memberRequests, id); });
}

std::string CustomerNode::receivedByTarget()
{
    return d->invoke([this] {
        std::string text;
        for (const auto &request : d->targetRequests) {
            text += textOf(request);
        }
        return text;
    });
}

std::string CustomerNode::written()
{
    return d->invoke([this] {
        std::string text = d->log + d->datagramBytes + d->documents->written;
        for (const auto &request : d->memberRequests) {
            text += textOf(request);
        }
        return text;
    });
}

std::string CustomerNode::logged()
{
    return d->invoke([this] { return d->log; });
}

Endpoint CustomerNode::ingress() const
{
    return d->settings.ingress;
}

}
