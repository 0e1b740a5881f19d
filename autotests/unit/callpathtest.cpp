#include "daemon/calls/callmessages.h"
#include "daemon/calls/ingress.h"
#include "daemon/calls/sidecar.h"
#include "heapcounter.h"
#include "httptest.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const std::string Address = testAddress(3);
const Endpoint IngressEndpoint{Address, 8080};
const Endpoint SidecarEndpoint{Address, 8081};
const Endpoint RejectingEndpoint{Address, 8082};
const Endpoint TargetEndpoint{Address, 9000};

constexpr std::size_t LargeBytes = 32 * 1024 * 1024;

// Produces a body of a given length, or truncates it.
class GeneratedBody : public BodySource
{
public:
    GeneratedBody(std::size_t length, std::size_t available, bool lengthKnown)
        : m_length(length)
        , m_left(available)
        , m_lengthKnown(lengthKnown)
        , m_truncated(available < length)
    {
    }

    asio::awaitable<ErrorCode> read(std::string &part, std::size_t limit) override
    {
        if (m_left == 0) {
            co_return asio::error::eof;
        }
        const auto count = std::min(limit, m_left);
        part.append(count, 'x');
        m_left -= count;
        co_return ErrorCode();
    }

    bool done() const override
    {
        return m_left == 0 && !m_truncated;
    }

    bool readStarted() const override
    {
        return true;
    }

    std::optional<std::uint64_t> length() const override
    {
        return m_lengthKnown ? std::optional<std::uint64_t>(m_length) : std::nullopt;
    }

private:
    std::size_t m_length;
    std::size_t m_left;
    bool m_lengthKnown;
    bool m_truncated;
};

MemberRecord member(const std::string &name, const Endpoint &sidecar)
{
    MemberRecord record;
    record.name = NodeName(name);
    record.dataCentre = DataCentre("rosario-a");
    record.service = ServiceName("ventas");
    record.address = sidecar.address;
    record.sidecarPort = sidecar.port;
    record.state = MemberState::Ready;
    return record;
}

// Ingress, sidecar and target on one thread, connected by real sockets.
struct Fixture
{
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard = asio::make_work_guard(context);
    HttpClient client{context, {}};
    std::atomic<int> targetCalls = 0;
    std::atomic<int> cancelledCalls = 0;
    std::atomic<bool> targetReady = false;
    Ingress ingress{{.client = client,
        .node = NodeName("n"),
        .dataCentre = DataCentre("rosario-a"),
        .callEnded = [](const RouteDefinition &, CallResult, std::chrono::microseconds) {}}};
    Sidecar sidecar{{.context = context,
        .client = client,
        .service = ServiceName("ventas"),
        .target = TargetEndpoint,
        .healthPath = "/health",
        .log = [](LogLevel, std::string_view, const std::vector<LogField> &) {},
        .policy = {.adaptive = false},
        .stateChanged = [this](MemberState state) { targetReady = state == MemberState::Ready; }}};
    HttpServer ingressServer{context,
        {.endpoint = IngressEndpoint,
            .handler = [this](HttpRequest request, ServerConnection &connection) { return ingress.handle(std::move(request), connection); },
            .limits = {.bodyBytes = 1U << 30U},
            .streamBodies = true}};
    HttpServer sidecarServer{context,
        {.endpoint = SidecarEndpoint,
            .handler = [this](HttpRequest request, ServerConnection &connection) { return sidecar.handle(std::move(request), connection); },
            .limits = {.bodyBytes = 1U << 30U},
            .streamBodies = true}};
    HttpServer rejectingServer{context,
        {.endpoint = RejectingEndpoint,
            .handler = [](HttpRequest, ServerConnection &) -> asio::awaitable<HttpResponse> {
                co_return notRunResponse(http::status::service_unavailable, "refused", "full");
            },
            .streamBodies = true}};
    HttpServer target{context,
        {.endpoint = TargetEndpoint,
            .handler = [this](HttpRequest request, ServerConnection &connection) { return serve(std::move(request), connection); },
            .limits = {.bodyBytes = 1U << 30U},
            .streamBodies = true}};
    std::thread thread;

    Fixture()
    {
        setMembers({member("a", SidecarEndpoint)});
        for (auto *server : {&ingressServer, &sidecarServer, &rejectingServer, &target}) {
            BOOST_REQUIRE(server->listen().has_value());
        }
        sidecar.start();
        thread = std::thread([this] { context.run(); });
        while (!targetReady) {
            std::this_thread::sleep_for(Milliseconds(2));
        }
        warmUp();
        targetCalls = 0;
    }

    // A target that has just become ready gets one call at a time, and more with each response. The
    // tests below need a target with all its slots available.
    void warmUp()
    {
        constexpr int Slots = 9;
        for (int call = 0; call < Slots; ++call) {
            RawClient caller(IngressEndpoint);
            caller.send("POST /ventas/upload HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx");
            caller.readTo("taken 1;");
        }
    }

    ~Fixture()
    {
        context.stop();
        thread.join();
    }

    void setMembers(const std::vector<MemberRecord> &members)
    {
        const std::vector<ConfigFile> files = {{FileName("all.ini"),
            "[service ventas]\ndata-centres = rosario-a\nslots = 9\nconnections = 120\n"
            "[route pedidos]\npath = /ventas\nmethods = GET, POST\nservice = ventas\nidempotent = no\ntimeout-ms = 30000\n"}};
        const auto snapshot = ConfigSnapshot::validate(files);
        BOOST_REQUIRE_MESSAGE(snapshot.has_value(), snapshot.error().message);
        auto revision = std::make_shared<ConfigRevision>();
        revision->snapshot = *snapshot;
        const auto view = RoutingView::build(revision, members);
        std::promise<void> done;
        asio::post(context, [&] {
            ingress.setView(view);
            sidecar.setView(view);
            done.set_value();
        });
        if (thread.joinable()) {
            done.get_future().wait();
        } else {
            context.poll();
        }
    }

    asio::awaitable<HttpResponse> serve(HttpRequest request, ServerConnection &connection)
    {
        const std::string path(request.target());
        if (path == "/health") {
            co_return makeResponse(http::status::ok, "text/plain", "ready");
        }
        ++targetCalls;
        if (path == "/ventas/wait") {
            asio::steady_timer timer(context);
            while (!connection.cancellation().cancelled()) {
                timer.expires_after(Milliseconds(2));
                co_await timer.async_wait(asio::use_awaitable);
            }
            ++cancelledCalls;
        }
        if (path == "/ventas/fields") {
            std::string names;
            for (const auto &field : request) {
                names += std::string(field.name_string()) + "=" + std::string(field.value()) + ";";
            }
            auto response = makeResponse(http::status::ok, "text/plain", names);
            response.set("galenahill-outcome", "not-run");
            co_return response;
        }
        if (path.rfind("/ventas/large", 0) == 0) {
            GeneratedBody body(LargeBytes, path.find("cut") == std::string::npos ? LargeBytes : LargeBytes / 2, path.find("chunked") == std::string::npos);
            auto response = makeResponse(http::status::ok, "text/plain", "");
            co_await connection.sendStreamed(std::move(response), body);
            co_return HttpResponse();
        }
        std::size_t count = request.body().size();
        if (auto *rest = connection.requestBody()) {
            std::string part;
            while (!rest->done()) {
                part.clear();
                if (co_await rest->read(part, 16 * 1024)) {
                    co_return makeResponse(http::status::bad_request, "text/plain", "cut off");
                }
                count += part.size();
            }
        }
        co_return makeResponse(http::status::ok, "text/plain", "taken " + std::to_string(count) + ";");
    }

    // Number of requests in flight at ingress, sidecar and target.
    std::size_t inFlight()
    {
        std::promise<std::size_t> result;
        asio::post(context,
            [&] { result.set_value(ingressServer.requestsInFlight() + sidecarServer.requestsInFlight() + target.requestsInFlight() + sidecar.inFlight()); });
        return result.get_future().get();
    }

    bool becomesIdle()
    {
        const auto end = Clock::now() + TestTimeout;
        while (inFlight() > 0 && Clock::now() < end) {
            std::this_thread::sleep_for(Milliseconds(2));
        }
        return inFlight() == 0;
    }
};

std::string uploadHeader(std::size_t length)
{
    return "POST /ventas/upload HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

// Sends a large body and returns how many bytes of it the target received.
std::string upload(RawClient &caller)
{
    caller.send(uploadHeader(LargeBytes));
    const std::string part(64 * 1024, 'x');
    for (std::size_t sent = 0; sent < LargeBytes; sent += part.size()) {
        caller.send(part);
    }
    caller.readTo("taken ");
    return caller.readTo(";");
}

}

// A caller disconnects while its call runs at the target. The ingress must close its connection to the
// sidecar, and the sidecar its connection to the target. Otherwise the slot stays in use for a
// response that nobody reads.
BOOST_FIXTURE_TEST_CASE(PropagatesCancellationToTheTarget, Fixture)
{
    RawClient caller(IngressEndpoint);
    caller.send("GET /ventas/wait HTTP/1.1\r\nHost: h\r\n\r\n");
    while (targetCalls == 0) {
        std::this_thread::sleep_for(Milliseconds(2));
    }
    caller.close();
    BOOST_TEST(becomesIdle());
    BOOST_TEST(cancelledCalls == 1);
    BOOST_TEST(targetCalls == 1);
}

// Several callers send and fetch bodies that together are far larger than the memory that the node may
// use for them. Each part must be forwarded before the next one is read.
BOOST_FIXTURE_TEST_CASE(BuffersOnlyPartsOfLargeBodies, Fixture)
{
    constexpr int Callers = 6;
    const auto before = HeapCounter::resetPeak();
    std::vector<std::thread> threads;
    threads.reserve(Callers);
    std::atomic<int> complete = 0;
    for (int i = 0; i < Callers; ++i) {
        threads.emplace_back([&] {
            RawClient caller(IngressEndpoint);
            complete += upload(caller) == std::to_string(LargeBytes) + ";" ? 1 : 0;
            caller.send("GET /ventas/large HTTP/1.1\r\nHost: h\r\n\r\n");
            const auto header = caller.readTo("\r\n\r\n");
            complete += header.find("Content-Length: " + std::to_string(LargeBytes)) != std::string::npos && caller.skip(LargeBytes) ? 1 : 0;
            caller.send("GET /ventas/large-chunked HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            caller.readTo("Transfer-Encoding: chunked");
            complete += caller.skipToEnd() == "0\r\n\r\n" ? 1 : 0;
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    const auto peak = HeapCounter::peakBytes - before;
    BOOST_TEST_MESSAGE("peak heap bytes for " << Callers << " callers: " << peak);
    BOOST_TEST(complete == 3 * Callers);
    BOOST_TEST(peak < 2 * 1024 * 1024 * Callers);
}

// The target dies in the middle of a long response. The part that the caller has received must not look
// like a complete response.
BOOST_FIXTURE_TEST_CASE(ForwardsATruncatedResponseAsTruncated, Fixture)
{
    for (const std::string path : {"/ventas/large-cut", "/ventas/large-chunked-cut"}) {
        RawClient caller(IngressEndpoint);
        caller.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
        caller.readTo("\r\n\r\n");
        BOOST_TEST(caller.skipToEnd() != "0\r\n\r\n");
        BOOST_TEST(caller.skipped() < LargeBytes * 3 / 4);
    }
    BOOST_TEST(becomesIdle());
}

// One of two sidecars rejects all calls. The ingress can offer the call to the other one only because it waits
// for 100 Continue before it sends a large body: a part that has been sent cannot be sent again, and
// the call would fail though a target has free slots.
BOOST_FIXTURE_TEST_CASE(SendsALargeBodyOnlyToASidecarThatAcceptsIt, Fixture)
{
    setMembers({member("a", SidecarEndpoint), member("b", RejectingEndpoint)});
    for (int i = 0; i < 8; ++i) {
        RawClient caller(IngressEndpoint);
        BOOST_TEST(upload(caller) == std::to_string(LargeBytes) + ";");
    }
    BOOST_TEST(targetCalls == 8);
}

// A caller forges header fields that only nodes may set, and lists others in Connection to have them
// removed as hop-by-hop; a target forges a rejection, after which the ingress would send the call
// again.
BOOST_FIXTURE_TEST_CASE(StripsForgedFields, Fixture)
{
    RawClient caller(IngressEndpoint);
    caller.send("GET /ventas/fields HTTP/1.1\r\nGALENAHILL-Call-Id: forged\r\nHost: h\r\nConnection: X-Hop, keep-alive\r\ngalenahill-service: forged\r\n"
                "X-Hop: forged\r\nX-Own: kept\r\nGalenahill-Outcome: forged\r\ngalenaHILL-anything: forged\r\n\r\n");
    const auto header = caller.readTo("\r\n\r\n");
    BOOST_TEST(header.find("200 OK") != std::string::npos);
    BOOST_TEST(header.find("utcome") == std::string::npos);
    const auto fields = caller.readTo("X-Own=kept;");
    BOOST_TEST(fields.find("forged") == std::string::npos);
    BOOST_TEST(targetCalls == 1);
}

// The time that a call takes on a busy node depends mostly on the number of heap allocations, which,
// unlike time, is the same on every machine. Counts those of ingress, sidecar, target and the three
// connections between them.
BOOST_FIXTURE_TEST_CASE(AllocatesLittlePerCall, Fixture)
{
    constexpr std::uint64_t Calls = 1000;
    constexpr std::uint64_t MaxPerCall = 110;
    RawClient caller(IngressEndpoint);
    const std::string request = "GET /ventas/a HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n";
    std::uint64_t before = 0;
    for (std::uint64_t i = 0; i < Calls + 100; ++i) {
        if (i == 100) {
            before = HeapCounter::allocations;
        }
        caller.send(request);
        caller.readTo("taken 0;");
    }
    const auto perCall = (HeapCounter::allocations - before) / Calls;
    BOOST_TEST_MESSAGE("allocations per call: " << perCall);
    BOOST_TEST(perCall <= MaxPerCall);
}
