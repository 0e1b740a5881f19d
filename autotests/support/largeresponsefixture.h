#pragma once

#include "adapters/http/sleep.h"
#include "core/calls/callheaders.h"
#include "daemon/calls/ingress.h"
#include "daemon/calls/responsesender.h"
#include "daemon/calls/sidecar.h"
#include "httptest.h"
#include "repeatedbody.h"

#include <boost/test/unit_test.hpp>

namespace Galenahill::Test {

constexpr std::uint32_t SlowLink = 11;
constexpr std::uint32_t FastLink = 1000;

// A body that breaks off after its first part.
class CutBody : public RepeatedBody
{
public:
    using RepeatedBody::RepeatedBody;

    asio::awaitable<ErrorCode> read(std::string &part, std::size_t limit) override
    {
        if (readStarted()) {
            co_return asio::error::eof;
        }
        co_return co_await RepeatedBody::read(part, limit);
    }
};

// Ingress, sidecar and target on one thread, connected by real sockets. The target responds to
// /export/COUNT and /lookup/COUNT with that many bytes. Programs that may run at the same time use
// different addresses.
struct LargeResponseFixture
{
    Endpoint ingressEndpoint;
    Endpoint sidecarEndpoint;
    Endpoint targetEndpoint;
    // Service time of exports.
    std::atomic<int> exportMs = 0;
    // Exports are answered once that many calls have reached the target.
    std::atomic<int> exportsTogether = 0;
    // Called on the data thread after each handler that it has run.
    std::function<void()> handlerRun;
    // Whether the target closes its connection in the middle of an export.
    std::atomic<bool> cutsExports = false;
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard = asio::make_work_guard(context);
    HttpClient client{context, {}};
    std::atomic<int> targetCalls = 0;
    Sidecar sidecar;
    Ingress ingress;
    HttpServer ingressServer{context, {.endpoint = ingressEndpoint, .handler = [this](HttpRequest request, ServerConnection &connection) {
                                           return ingress.handle(std::move(request), connection);
                                       }}};
    HttpServer sidecarServer{context, {.endpoint = sidecarEndpoint, .handler = [this](HttpRequest request, ServerConnection &connection) {
                                           return sidecar.handle(std::move(request), connection);
                                       }}};
    HttpServer target{context,
        {.endpoint = targetEndpoint, .handler = [this](HttpRequest request, ServerConnection &connection) { return serve(std::move(request), connection); }}};
    std::thread thread;

    LargeResponseFixture(const std::string &address, std::uint32_t linkMbps, std::uint32_t slots, bool local = false)
        : ingressEndpoint{address, 8080}
        , sidecarEndpoint{address, 8081}
        , targetEndpoint{address, 9000}
        , sidecar({.context = context,
              .client = client,
              .service = ServiceName("statements"),
              .target = targetEndpoint,
              .log = [](LogLevel, std::string_view, const std::vector<LogField> &) {},
              .policy = {.adaptive = false, .byUrgency = true},
              .link = {.bytesPerSecond = linkMbps * std::uint64_t(125000)},
              .stateChanged = [](MemberState) {}})
        , ingress({.client = client,
              .node = NodeName("n"),
              .localSidecar = sidecarEndpoint,
              .callLocalSidecar = local ? [this](HttpRequest request, ServerConnection &connection) { return sidecar.handle(std::move(request), connection); }
                                        : decltype(Ingress::Options::callLocalSidecar)(),
              .callEnded = [](const RouteDefinition &, CallResult, std::chrono::microseconds) {}})
    {
        ConfigDefinitions definitions{.services = {{.name = ServiceName("statements"), .slots = slots, .connections = 64}}};
        for (const std::string name : {"export", "lookup"}) {
            definitions.routes.push_back({.name = RouteName(name),
                .path = "/" + name,
                .service = ServiceName("statements"),
                .type = name == "export" ? CallType::LargeResponse : CallType::Idempotent,
                .timeout = Milliseconds(20000)});
        }
        auto revision = std::make_shared<ConfigRevision>();
        revision->snapshot = ConfigSnapshot::assemble(definitions).value();
        MemberRecord record{.name = NodeName("n"), .service = ServiceName("statements"), .address = address, .sidecarPort = sidecarEndpoint.port};
        record.state = MemberState::Ready;
        record.linkMbps = linkMbps;
        const auto view = RoutingView::build(revision, {record});
        ingress.setView(view);
        sidecar.setView(view);
        sidecar.targetAnnounced({.id = "t", .startedAt = 1, .service = ServiceName("statements"), .slots = slots}, MemberState::Ready);
        for (auto *server : {&ingressServer, &sidecarServer, &target}) {
            BOOST_REQUIRE(server->listen().has_value());
        }
        thread = std::thread([this] { run(); });
        warmUp(slots);
        targetCalls = 0;
    }

    ~LargeResponseFixture()
    {
        context.stop();
        thread.join();
    }

    // A target that has just become ready gets one call at a time, and more with each response.
    void warmUp(std::uint32_t calls) const;

    void run()
    {
        while (context.run_one() > 0) {
            if (handlerRun) {
                handlerRun();
            }
        }
    }

    asio::awaitable<HttpResponse> serve(HttpRequest request, ServerConnection &connection)
    {
        ++targetCalls;
        const std::string path(request.target());
        const auto bytes = std::stoul(path.substr(path.rfind('/') + 1));
        const bool isExport = path.starts_with("/export");
        if (isExport) {
            co_await sleepFor(context, Milliseconds(exportMs));
            while (targetCalls < exportsTogether) {
                co_await sleepFor(context, Milliseconds(1));
            }
        }
        if (isExport && cutsExports) {
            CutBody body('x', bytes);
            co_await connection.sendStreamed(makeResponse(http::status::ok, "text/plain", ""), body);
        }
        co_return makeResponse(http::status::ok, "text/plain", std::string(bytes, 'x'));
    }

    template <typename Function>
    auto onThread(Function function)
    {
        std::packaged_task<decltype(function())()> task(function);
        auto result = task.get_future();
        asio::post(context, [&task] { task(); });
        return result.get();
    }

    // Waits until the condition holds on the data thread; false if it does not in time.
    template <typename Condition>
    bool waitUntil(Condition condition)
    {
        const auto end = Clock::now() + TestTimeout;
        bool holds = onThread(condition);
        while (!holds && Clock::now() < end) {
            std::this_thread::sleep_for(Milliseconds(2));
            holds = onThread(condition);
        }
        return holds;
    }

    std::uint64_t backlogBytes()
    {
        return onThread([this] { return sidecar.responseSender().schedule().backlogBytes(); });
    }
};

// Sends a call; the response is still to be read.
struct Caller : RawClient
{
    explicit Caller(const Endpoint &ingress, const std::string &path, int timeoutMs = 15000)
        : RawClient(ingress)
    {
        send("GET " + path + " HTTP/1.1\r\nHost: h\r\n" + CallHeaders::TimeoutMs + ": " + std::to_string(timeoutMs) + "\r\n\r\n");
    }

    // Reads a response with a body of that length.
    bool receives(std::size_t bytes)
    {
        return !readTo("\r\n\r\n").empty() && skip(bytes);
    }
};

inline void LargeResponseFixture::warmUp(std::uint32_t calls) const
{
    for (std::uint32_t i = 0; i < calls; ++i) {
        BOOST_REQUIRE(Caller(ingressEndpoint, "/lookup/1").receives(1));
    }
}

}
