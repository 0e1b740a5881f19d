// Stand-in for a target: an HTTP server with slots, cold start, drain, and a ledger of the calls
// that it ran. It has these endpoints:
//   GET  /health   200 ready, or 503 starting or draining
//   GET  /load     slots in use, as JSON
//   GET  /ledger   ids of the calls that ran, one per line, in order
//   POST /admin    {"drain": B, "service_us": N, "slots": N, "cold_ms": N, "freeze": B, "misreport": B,
//                   "rate_limit": TEXT, "leaving": B, "slow_factor": F, "slow_ms": N}
// A request for any other path is a call. It takes the service time, and the response contains the
// request id. With the query bytes=N, the response is padded to that length.
// With --log-runs, each ledger entry is also written to standard error as "ran ID MICROSECONDS",
// with the time of the monotonic clock, so that the ledger outlives the process. Likewise logged are
// "started ID MICROSECONDS", "answered ID MICROSECONDS" for each run that ended, or "cut ID MICROSECONDS" if
// the connection of its call had been closed by then, "got ID MICROSECONDS" for each call that arrives, and "stated FIELD VALUE MICROSECONDS" for each
// change of what the target states about itself. With --announce, "customer ID NAME MICROSECONDS" says
// which customer the target is told for a call, or "-", and "leaked ID MICROSECONDS" that a header
// field contains the text of --key-marker, which is part of every key.
// With --nested-through, a share of the calls makes a nested call in the middle of its service time, and then logs what
// NestedCaller::call() describes. Nested calls make none.
// With --fatal-marker, a call whose path contains the text ends the process in the middle of its service time, as
// fataleffect.h describes.
// A call that finds no free slot counts as an overrun. It waits in the backlog and then runs, even
// if its caller has disconnected; if the backlog is full, the target rejects the call with 503.
// The run of a call goes on when its connection is closed. "slow_ms" makes the calls that start in
// that time take longer by "slow_factor".
// "cold_ms" makes the target reject all calls for that time, as during a cold start. "freeze" holds
// back all responses until it is reset. "misreport" makes /health and /load report ready and idle.
// With --announce, the target announces itself to the node on its VM and uses the header fields of
// the platform: it returns the request id, adds the origin marker to its responses, rejects calls
// that are meant for another target, and marks responses to calls that it did not run. "rate_limit"
// and "leaving" are stated in a header field of each of its responses; an empty text states no limit.

#include "adapters/http/httpserver.h"
#include "announcer.h"
#include "fataleffect.h"
#include "nestedcaller.h"
#include "platform/callheadernames.h"
#include "responsebody.h"
#include "serveuntilstopped.h"
#include "servicetimedraw.h"
#include "targetoptions.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>

namespace Galenahill {

namespace {

// Calls that start later than this after the start of a drain are counted as late.
constexpr Milliseconds DrainGracePeriod{1000};

// Interval at which waiting calls check for a free slot.
constexpr std::chrono::microseconds BacklogCheckInterval{500};

class Target
{
public:
    Target(asio::io_context &context, TargetOptions options)
        : m_context(context)
        , m_options(std::move(options))
        , m_serviceTimes({.mean = m_options.serviceTime, .lateShare = m_options.lateShare, .lateFactor = m_options.lateFactor, .seed = m_options.seed})
        , m_random(m_options.seed)
        , m_readyAt(Clock::now() + m_options.coldStart)
    {
        logEvent("started " + m_options.id);
        if (m_options.announces()) {
            m_headerNames = Platform::callHeaderNames();
        }
        if (m_options.nestedThrough.port != 0) {
            m_nestedCaller.emplace(context,
                NestedCaller::Options{.ingress = m_options.nestedThrough,
                    .targetId = m_options.id,
                    .host = m_options.nestedHost,
                    .path = m_options.nestedPath,
                    .headerNames = m_headerNames});
        }
    }

    std::uint32_t slots() const
    {
        return m_options.slots;
    }

    bool draining() const
    {
        return m_draining;
    }

    asio::awaitable<HttpResponse> handle(HttpRequest request, ServerConnection &connection);

private:
    asio::awaitable<HttpResponse> runCall(HttpRequest request, ServerConnection &connection);
    HttpResponse health() const;
    HttpResponse load() const;
    HttpResponse admin(const HttpRequest &request);
    asio::awaitable<bool> acquireSlot();
    asio::awaitable<void> serve(const std::string &id);
    std::string requestIdOf(const HttpRequest &request) const;
    HttpResponse notRunResponse(http::status status, const std::string &kind, const std::string &message) const;
    void logEvent(const std::string &event) const;
    void logCustomer(const HttpRequest &request) const;
    void setStatements(const std::string &rateLimit, bool leaving);
    HttpResponse withStatements(HttpResponse response) const;

    asio::io_context &m_context;
    TargetOptions m_options;
    ServiceTimeDraw m_serviceTimes;
    // Left at the defaults with galenahilld nodes, whose request id field is Request-Id.
    CallHeaderNames m_headerNames;
    std::optional<NestedCaller> m_nestedCaller;
    std::mt19937_64 m_random;
    TimePoint m_readyAt;
    std::string m_ledger;
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    std::uint64_t m_overruns = 0;
    std::uint64_t m_lateCalls = 0;
    TimePoint m_drainedAt;
    bool m_draining = false;
    bool m_responsesHeld = false;
    bool m_misreports = false;
    // Text of the rate limit that each response states; empty for none.
    std::string m_rateLimit;
    bool m_leaving = false;
};

HttpResponse Target::health() const
{
    if (m_misreports) {
        return makeResponse(http::status::ok, "text/plain", "ready");
    }
    if (m_draining) {
        return makeResponse(http::status::service_unavailable, "text/plain", "draining");
    }
    if (Clock::now() < m_readyAt) {
        return makeResponse(http::status::service_unavailable, "text/plain", "starting");
    }
    return makeResponse(http::status::ok, "text/plain", "ready");
}

HttpResponse Target::load() const
{
    const nlohmann::json json = {{"slots", m_options.slots}, {"running", m_misreports ? 0 : m_running}, {"overruns", m_overruns}, {"late_calls", m_lateCalls}};
    return makeResponse(http::status::ok, "application/json", json.dump());
}

HttpResponse Target::admin(const HttpRequest &request)
{
    const auto json = nlohmann::json::parse(request.body(), nullptr, false);
    if (!json.is_object()) {
        return makeErrorResponse(http::status::bad_request, "invalid", "the request body must be a JSON object");
    }
    const bool draining = json.value("drain", m_draining);
    m_drainedAt = draining && !m_draining ? Clock::now() : m_drainedAt;
    m_draining = draining;
    m_options.slots = json.value("slots", m_options.slots);
    if (json.contains("cold_ms")) {
        m_readyAt = Clock::now() + Milliseconds(json.value("cold_ms", 0));
    }
    m_responsesHeld = json.value("freeze", m_responsesHeld);
    m_misreports = json.value("misreport", m_misreports);
    m_serviceTimes.setMean(std::chrono::microseconds(json.value("service_us", m_serviceTimes.mean().count())));
    if (json.contains("slow_ms")) {
        m_serviceTimes.slowDown(json.value("slow_factor", 1.0), Clock::now() + Milliseconds(json.value("slow_ms", 0)));
    }
    setStatements(json.value("rate_limit", m_rateLimit), json.value("leaving", m_leaving));
    return makeResponse(http::status::ok, "text/plain", "");
}

void Target::logEvent(const std::string &event) const
{
    if (m_options.logRuns) {
        fmt::print(stderr, "{} {}\n", event, std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count());
    }
}

void Target::logCustomer(const HttpRequest &request) const
{
    if (!m_options.announces()) {
        return;
    }
    const std::string name(request[m_headerNames.customer]);
    logEvent(fmt::format("customer {} {}", requestIdOf(request), name.empty() ? "-" : name));
    const bool leaked = !m_options.keyMarker.empty() && std::any_of(request.begin(), request.end(), [this](const auto &field) {
        return field.value().find(m_options.keyMarker) != boost::beast::string_view::npos;
    });
    if (leaked) {
        logEvent("leaked " + requestIdOf(request));
    }
}

void Target::setStatements(const std::string &rateLimit, bool leaving)
{
    if (rateLimit != m_rateLimit) {
        logEvent(fmt::format("stated rate-limit {}", rateLimit.empty() ? "none" : rateLimit));
    }
    if (leaving != m_leaving) {
        logEvent(fmt::format("stated leaving {}", leaving ? 1 : 0));
    }
    m_rateLimit = rateLimit;
    m_leaving = leaving;
}

HttpResponse Target::withStatements(HttpResponse response) const
{
    if (!m_headerNames.rateLimit.empty() && !m_rateLimit.empty()) {
        response.set(m_headerNames.rateLimit, m_rateLimit);
    }
    if (!m_headerNames.leaving.empty() && m_leaving) {
        response.set(m_headerNames.leaving, "1");
    }
    return response;
}

asio::awaitable<HttpResponse> Target::handle(HttpRequest request, ServerConnection &connection)
{
    const auto target = request.target();
    if (target == "/health") {
        auto response = health();
        if (!m_headerNames.targetId.empty()) {
            response.set(m_headerNames.targetId, m_options.id);
        }
        co_return withStatements(std::move(response));
    }
    if (target == "/load") {
        co_return load();
    }
    if (target == "/ledger") {
        co_return makeResponse(http::status::ok, "text/plain", m_ledger);
    }
    if (target == "/admin") {
        co_return admin(request);
    }
    logEvent("got " + requestIdOf(request));
    logCustomer(request);
    co_return withStatements(co_await runCall(std::move(request), connection));
}

asio::awaitable<bool> Target::acquireSlot()
{
    if (m_running >= m_options.slots) {
        ++m_overruns;
        if (m_waiting >= m_options.backlog) {
            co_return false;
        }
        ++m_waiting;
        asio::steady_timer timer(m_context);
        while (m_running >= m_options.slots) {
            ErrorCode ignored;
            timer.expires_after(BacklogCheckInterval);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        --m_waiting;
    }
    ++m_running;
    co_return true;
}

std::string Target::requestIdOf(const HttpRequest &request) const
{
    return std::string(m_headerNames.requestId.empty() ? request["Request-Id"] : request[m_headerNames.requestId]);
}

HttpResponse Target::notRunResponse(http::status status, const std::string &kind, const std::string &message) const
{
    auto response = makeErrorResponse(status, kind, message);
    if (!m_headerNames.notExecuted.empty()) {
        response.set(m_headerNames.notExecuted, "1");
    }
    return response;
}

// Takes the service time, and that of a nested call.
asio::awaitable<void> Target::serve(const std::string &id)
{
    const bool makesCall = m_nestedCaller && id.find('.') == std::string::npos && std::bernoulli_distribution(m_options.nestedShare)(m_random);
    const auto serviceTime = m_serviceTimes.next(Clock::now());
    asio::steady_timer timer(m_context, makesCall ? serviceTime / 2 : serviceTime);
    ErrorCode ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (makesCall) {
        logEvent(co_await m_nestedCaller->call(id));
        timer.expires_after(serviceTime / 2);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<HttpResponse> Target::runCall(HttpRequest request, ServerConnection &connection)
{
    const auto expected = m_headerNames.expectedTarget.empty() ? boost::beast::string_view() : request[m_headerNames.expectedTarget];
    if (!expected.empty() && expected != m_options.id) {
        co_return notRunResponse(http::status::misdirected_request, "misdirected", "the call is meant for another target than the one at this address");
    }
    if (Clock::now() < m_readyAt) {
        co_return notRunResponse(http::status::service_unavailable, "starting", "the target is starting");
    }
    if (!co_await acquireSlot()) {
        co_return notRunResponse(http::status::service_unavailable, "overrun", "all slots are in use and the backlog is full");
    }
    if (m_draining && Clock::now() > m_drainedAt + DrainGracePeriod) {
        ++m_lateCalls;
    }
    const auto id = requestIdOf(request);
    m_ledger += id + "\n";
    logEvent("ran " + id);
    const bool isFatal = !m_options.fatalMarker.empty() && request.target().find(m_options.fatalMarker) != boost::beast::string_view::npos;
    if (isFatal) {
        asio::steady_timer timer(m_context, m_serviceTimes.next(Clock::now()) / 2);
        ErrorCode ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        logEvent("ended-by " + id);
        endProcess(fatalEffectOf({request.target().data(), request.target().size()}));
    }
    co_await serve(id);
    asio::steady_timer timer(m_context);
    ErrorCode ignored;
    while (m_responsesHeld) {
        timer.expires_after(Milliseconds(20));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    --m_running;
    logEvent((connection.peerClosed() ? "cut " : "answered ") + id);
    auto response = makeResponse(http::status::ok, "text/plain", responseBody("done " + id, std::string(request.target())));
    response.set(m_headerNames.requestId.empty() ? "Request-Id" : m_headerNames.requestId, id);
    if (!m_headerNames.originMarker.empty()) {
        response.set(m_headerNames.originMarker, m_options.id);
    }
    co_return response;
}

int run(const TargetOptions &options)
{
    asio::io_context context(1);
    Target target(context, options);
    std::optional<Announcer> announcer;
    if (options.announces()) {
        announcer.emplace(context,
            Announcer::Options{.registration = options.registration,
                .sampleFile = options.heartbeatSample,
                .id = options.id,
                .service = options.service,
                .dataCentre = options.dataCentre,
                .address = options.announcedAs,
                .slots = [&target] { return target.slots(); },
                .draining = [&target] { return target.draining(); }});
        announcer->start();
    }
    return serveUntilStopped(context,
        {.endpoint = {options.address, options.port},
            .handler = [&](HttpRequest request, ServerConnection &connection) { return target.handle(std::move(request), connection); },
            .maxConnections = options.connections});
}

}

}

int main(int argc, const char **argv)
{
    const auto options = Galenahill::parseTargetOptions(argc, argv);
    return options ? Galenahill::run(*options) : 2;
}
