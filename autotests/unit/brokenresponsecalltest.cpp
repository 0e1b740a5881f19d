// What the callers of a target receive that sends broken responses, through an ingress and a sidecar.

#include "brokenresponseserver.h"
#include "core/calls/callheaders.h"
#include "daemon/calls/ingress.h"
#include "daemon/calls/sidecar.h"
#include "daemon/targetprobe.h"
#include "httptest.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <mutex>

using namespace Galenahill;
using Galenahill::Test::BrokenResponse;
using Galenahill::Test::BrokenResponseServer;
using End = Galenahill::Test::BrokenResponse::End;

namespace {

const std::string Address = testAddress(45);
const Endpoint IngressEndpoint{Address, 8080};
const Endpoint SidecarEndpoint{Address, 8081};
const Endpoint TargetEndpoint{Address, 9000};

constexpr std::size_t UploadBytes = 8 * 1024 * 1024;
constexpr std::size_t PartialBytes = 20000;
// More than the client buffers, so that the response has begun to be passed on when it breaks off.
constexpr std::size_t StreamedBytes = 200000;
constexpr std::uint32_t Slots = 4;

const std::string ResponseInBody = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";

struct Received
{
    int status = 0;
    std::string header;
    std::string body;
    bool reset = false;

    bool isOutcomeUnknown() const
    {
        return status == 502 && header.find(std::string(CallHeaders::Outcome) + ": " + CallHeaders::OutcomeUnknown) != std::string::npos;
    }
};

// An ingress and a sidecar, connected by real sockets or, if `local`, in one process, beside a target that sends the scripted
// responses.
class Fixture
{
public:
    explicit Fixture(BrokenResponse response, bool local = false)
        : target(TargetEndpoint, std::move(response))
        , sidecar({.context = context,
              .client = client,
              .service = ServiceName("statements"),
              .target = TargetEndpoint,
              .log = [](LogLevel, std::string_view, const std::vector<LogField> &) {},
              .policy = {.adaptive = false, .byUrgency = true},
              .stateChanged = [](MemberState) {}})
        , ingress({.client = client,
              .node = NodeName("n"),
              .localSidecar = SidecarEndpoint,
              .callLocalSidecar = local ? [this](HttpRequest request, ServerConnection &connection) { return sidecar.handle(std::move(request), connection); }
                                        : decltype(Ingress::Options::callLocalSidecar)(),
              .callEnded = [this](const RouteDefinition &, CallResult result, std::chrono::microseconds) { recordEnd(result); }})
    {
        const ConfigDefinitions definitions{.services = {{.name = ServiceName("statements"), .slots = Slots, .connections = 64}},
            .routes = {{.name = RouteName("orders"),
                .path = "/",
                .service = ServiceName("statements"),
                .type = CallType::NonIdempotent,
                .timeout = Milliseconds(20000)}}};
        auto revision = std::make_shared<ConfigRevision>();
        revision->snapshot = ConfigSnapshot::assemble(definitions).value();
        MemberRecord record{.name = NodeName("n"), .service = ServiceName("statements"), .address = Address, .sidecarPort = SidecarEndpoint.port};
        record.state = MemberState::Ready;
        const auto view = RoutingView::build(revision, {record});
        ingress.setView(view);
        sidecar.setView(view);
        sidecar.targetAnnounced({.id = "t", .startedAt = 1, .service = ServiceName("statements"), .slots = Slots}, MemberState::Ready);
        BOOST_REQUIRE(ingressServer.listen().has_value());
        BOOST_REQUIRE(sidecarServer.listen().has_value());
        thread = std::thread([this] { context.run(); });
    }

    ~Fixture()
    {
        context.stop();
        thread.join();
    }

    // Sends a request and, without waiting for the end of it, reads all that arrives until the connection ends.
    static Received call(std::size_t bodyBytes = 0, const std::string &version = "1.1")
    {
        RawClient caller(IngressEndpoint);
        const auto header = fmt::format(
            "POST /order HTTP/{}\r\nHost: h\r\nConnection: close\r\n{}: 15000\r\nContent-Length: {}\r\n\r\n", version, CallHeaders::TimeoutMs, bodyBytes);
        std::thread sender([&] { caller.send(header + std::string(bodyBytes, 'x')); });
        const auto text = caller.readToEnd().value_or("");
        caller.shutdown();
        sender.join();
        const auto end = text.find("\r\n\r\n");
        if (end == std::string::npos) {
            return {.reset = caller.wasReset()};
        }
        return {.status = std::stoi(text.substr(text.find(' '))), .header = text.substr(0, end + 2), .body = text.substr(end + 4), .reset = caller.wasReset()};
    }

    std::vector<CallResult> results()
    {
        const std::lock_guard lock(mutex);
        return ended;
    }

    BrokenResponseServer target;
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard = asio::make_work_guard(context);
    HttpClient client{context, {}};
    Sidecar sidecar;
    Ingress ingress;
    HttpServer ingressServer{context,
        {.endpoint = IngressEndpoint,
            .handler = [this](HttpRequest request, ServerConnection &connection) { return ingress.handle(std::move(request), connection); },
            .limits = {.bodyBytes = 2 * UploadBytes},
            .streamBodies = true}};
    HttpServer sidecarServer{context,
        {.endpoint = SidecarEndpoint,
            .handler = [this](HttpRequest request, ServerConnection &connection) { return sidecar.handle(std::move(request), connection); },
            .limits = {.bodyBytes = 2 * UploadBytes},
            .streamBodies = true,
            .peersWaitForContinue = true}};
    std::mutex mutex;
    std::vector<CallResult> ended;
    std::thread thread;

private:
    void recordEnd(CallResult result)
    {
        const std::lock_guard lock(mutex);
        ended.push_back(result);
    }
};

}

// Guards against a part of a response that reaches the caller of an upload as the complete one.
BOOST_AUTO_TEST_CASE(ResetDuringAnUploadIsAnUnknownOutcome)
{
    for (const bool local : {false, true}) {
        for (const auto delay : {Milliseconds(0), Milliseconds(250)}) {
            const Fixture fixture(
                {.bytes = "HTTP/1.1 200 OK\r\n\r\n" + std::string(PartialBytes, 'p'), .end = End::Reset, .delay = delay, .resetDelay = Milliseconds(20)},
                local);
            const auto received = Fixture::call(UploadBytes);
            BOOST_TEST(received.isOutcomeUnknown(), received.header);
        }
    }
}

// Guards against responses that no target sent, or that are not valid, passed on to callers.
BOOST_AUTO_TEST_CASE(BrokenResponseIsAnUnknownOutcome)
{
    const auto rest = fmt::format("Content-Length: {}\r\n\r\n{}", ResponseInBody.size(), ResponseInBody);
    for (const auto &response : {"HTTP/1.1 000 Broken\r\n" + rest,
             "HTTP/1.1 999 Broken\r\n" + rest,
             "HTTP/1.1 200 OK\r\nX Name: v\r\n" + rest,
             "HTTP/1.1 200 OK\r\nX-\x01Name: v\r\n" + rest,
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" + rest}) {
        const Fixture fixture({.bytes = response});
        const auto received = Fixture::call();
        BOOST_TEST(received.isOutcomeUnknown(), response);
    }
}

// Guards against the loss of a response whose status code no registry lists.
BOOST_AUTO_TEST_CASE(UnlistedStatusReachesTheCaller)
{
    for (const int status : {299, 418, 530}) {
        Fixture fixture({.bytes = fmt::format("HTTP/1.1 {} Own\r\nContent-Length: {}\r\n\r\n{}", status, ResponseInBody.size(), ResponseInBody)});
        const auto received = Fixture::call();
        BOOST_TEST(received.status == status);
        BOOST_TEST(received.body == ResponseInBody);
    }
}

// Guards against a failure of the target that counts as a success, since the library doesn't list its status.
BOOST_AUTO_TEST_CASE(StreamedResponseCountsByTheNumberOfItsStatus)
{
    Fixture fixture({.bytes = fmt::format("HTTP/1.1 530 Own\r\nContent-Length: {}\r\n\r\n{}", StreamedBytes, std::string(StreamedBytes, 'p'))});
    const auto received = Fixture::call();
    BOOST_TEST(received.status == 530);
    BOOST_TEST(received.body.size() == StreamedBytes);
    const auto results = fixture.results();
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST((results.front() == CallResult::TargetFailed));
}

// Guards against a response that breaks off after it has begun to be passed on and seems complete to the caller.
BOOST_AUTO_TEST_CASE(ResponseThatBreaksOffIsNotCompleteForTheCaller)
{
    const std::string body(StreamedBytes, 'p');
    const std::string chunk = fmt::format("{:x}\r\n{}\r\n", StreamedBytes, body);
    for (const bool local : {false, true}) {
        for (const auto &response : {"HTTP/1.1 200 OK\r\n\r\n" + body,
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk,
                 fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 2 * StreamedBytes) + body}) {
            const auto line = response.substr(0, response.find("\r\n\r\n"));
            const Fixture fixture({.bytes = response, .end = End::Reset, .resetDelay = Milliseconds(50)}, local);
            const auto current = Fixture::call(0, "1.1");
            const bool isChunked = current.header.find("Transfer-Encoding: chunked") != std::string::npos;
            const bool statesLength = current.header.find(fmt::format("Content-Length: {}\r\n", 2 * StreamedBytes)) != std::string::npos;
            BOOST_TEST((current.status != 200 || isChunked || statesLength), line);
            BOOST_TEST((!isChunked || !current.body.ends_with("\r\n0\r\n\r\n")), line);
            BOOST_TEST((!statesLength || current.body.size() < 2 * StreamedBytes), line);
            // A caller of HTTP/1.0 takes an orderly end of the connection for that of the body.
            const auto old = Fixture::call(0, "1.0");
            const bool statesLengthToOld = old.header.find("Content-Length: ") != std::string::npos;
            BOOST_TEST((old.status != 200 || old.reset || statesLengthToOld), line);
            BOOST_TEST((!statesLengthToOld || old.status != 200 || old.body.size() < 2 * StreamedBytes), line);
        }
    }
}

// Guards against broken responses to health checks that make a target ready.
BOOST_AUTO_TEST_CASE(BrokenResponseToAHealthCheckIsNotHealthy)
{
    for (const auto &response : {BrokenResponse{.bytes = "HTTP/1.1 000 OK\r\nContent-Length: 43\r\n\r\n" + ResponseInBody},
             BrokenResponse{.bytes = "HTTP/1.1 200 OK\r\nX Name: v\r\nContent-Length: 0\r\n\r\n"},
             BrokenResponse{.bytes = "HTTP/1.1 200 OK\r\n\r\nready", .end = End::Reset, .resetDelay = Milliseconds(20)},
             BrokenResponse{.bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 0\r\n\r\n"}}) {
        const BrokenResponseServer target(TargetEndpoint, response);
        asio::io_context context;
        HttpClient client(context, {});
        bool wasReady = false;
        constexpr std::size_t Checks = 3;
        TargetProbe probe({.context = context,
            .client = client,
            .target = TargetEndpoint,
            .path = "/health",
            .stopped = [&] { return target.requests() >= Checks; },
            .changed = [&](MemberState state) { wasReady = wasReady || state == MemberState::Ready; }});
        asio::co_spawn(context, probe.run(), asio::detached);
        context.run();
        BOOST_TEST(!wasReady, response.bytes);
    }
}
