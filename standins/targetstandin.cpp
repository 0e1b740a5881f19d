// Stand-in for a target: an HTTP server with slots, cold start, drain, health
// and load endpoints, and a ledger of what it ran. Any path but these is a
// call, which takes the service time and answers with the request id that it
// carried:
//   GET  /health   200 ready, or 503 starting or draining
//   GET  /load     slots taken, as JSON
//   GET  /ledger   ids of the calls that ran, one line each, in order
//   POST /admin    {"drain": B, "service_us": N, "slots": N, "cold_ms": N, "freeze": B, "misreport": B}
// With --log-runs each entry also goes to standard error as "ran ID MICROSECONDS"
// by the steady clock, so that the ledger outlives the process.
// A call beyond the slots counts as an overrun. It waits in the backlog, if
// there is one, and runs even if its caller has gone; without room it is
// refused with 503. "cold_ms" makes it a cold one for that time, which refuses
// all calls. "misreport" makes health and load say ready and idle.

#include "adapters/http/httpserver.h"
#include "serveuntilstopped.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <popt.h>

namespace Galenahill {

namespace {

struct TargetOptions
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 9000;
    std::uint32_t slots = 6;
    std::chrono::microseconds serviceTime{2000};
    Milliseconds coldStart{0};
    // Calls that wait for a slot at the most.
    std::uint32_t backlog = 0;
    std::uint32_t connections = 4096;
    bool logRuns = false;
};

// Calls that start later than this after a drain was ordered are late.
constexpr Milliseconds LeaveTime{1000};

// Step in which calls of the backlog look for a free slot.
constexpr std::chrono::microseconds BacklogStep{500};

class Target
{
public:
    Target(asio::io_context &context, TargetOptions options)
        : m_context(context)
        , m_options(std::move(options))
        , m_readyAt(Clock::now() + m_options.coldStart)
    {
    }

    asio::awaitable<HttpResponse> handle(HttpRequest request);

private:
    asio::awaitable<HttpResponse> runCall(HttpRequest request);
    HttpResponse health() const;
    HttpResponse load() const;
    HttpResponse admin(const HttpRequest &request);
    asio::awaitable<bool> takeSlot();

    asio::io_context &m_context;
    TargetOptions m_options;
    TimePoint m_readyAt;
    std::string m_ledger;
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    std::uint64_t m_overruns = 0;
    std::uint64_t m_lateCalls = 0;
    TimePoint m_drainedAt;
    bool m_draining = false;
    bool m_frozen = false;
    bool m_misreports = false;
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
        return makeErrorResponse(http::status::bad_request, "invalid", "give a JSON object");
    }
    const bool draining = json.value("drain", m_draining);
    m_drainedAt = draining && !m_draining ? Clock::now() : m_drainedAt;
    m_draining = draining;
    m_options.slots = json.value("slots", m_options.slots);
    if (json.contains("cold_ms")) {
        m_readyAt = Clock::now() + Milliseconds(json.value("cold_ms", 0));
    }
    m_frozen = json.value("freeze", m_frozen);
    m_misreports = json.value("misreport", m_misreports);
    m_options.serviceTime = std::chrono::microseconds(json.value("service_us", m_options.serviceTime.count()));
    return makeResponse(http::status::ok, "text/plain", "");
}

asio::awaitable<HttpResponse> Target::handle(HttpRequest request)
{
    const auto target = request.target();
    if (target == "/health") {
        co_return health();
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
    co_return co_await runCall(std::move(request));
}

asio::awaitable<bool> Target::takeSlot()
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
            timer.expires_after(BacklogStep);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        --m_waiting;
    }
    ++m_running;
    co_return true;
}

asio::awaitable<HttpResponse> Target::runCall(HttpRequest request)
{
    if (Clock::now() < m_readyAt) {
        co_return makeErrorResponse(http::status::service_unavailable, "starting", "the target is starting");
    }
    if (!co_await takeSlot()) {
        co_return makeErrorResponse(http::status::service_unavailable, "overrun", "all slots are taken");
    }
    if (m_draining && Clock::now() > m_drainedAt + LeaveTime) {
        ++m_lateCalls;
    }
    const std::string id(request["Request-Id"]);
    m_ledger += id + "\n";
    if (m_options.logRuns) {
        fmt::print(stderr, "ran {} {}\n", id, std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count());
    }
    asio::steady_timer timer(m_context);
    ErrorCode ignored;
    timer.expires_after(m_options.serviceTime);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    while (m_frozen) {
        timer.expires_after(Milliseconds(20));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    --m_running;
    auto response = makeResponse(http::status::ok, "text/plain", "done " + id);
    response.set("Request-Id", id);
    co_return response;
}

int run(const TargetOptions &options)
{
    asio::io_context context(1);
    Target target(context, options);
    return serveUntilStopped(context,
        {.endpoint = {options.address, options.port},
            .handler = [&](HttpRequest request, ServerConnection &) { return target.handle(std::move(request)); },
            .maxConnections = options.connections});
}

}

}

int main(int argc, const char **argv)
{
    char *address = nullptr;
    int port = 9000;
    int slots = 6;
    int serviceMicroseconds = 2000;
    int coldStart = 0;
    int backlog = 0;
    int connections = 4096;
    int logRuns = 0;
    const poptOption table[] = {
        {"address", 'a', POPT_ARG_STRING, &address, 0, "IP number to listen on", "IP"},
        {"port", 'p', POPT_ARG_INT, &port, 0, "Port to listen on", "PORT"},
        {"slots", 's', POPT_ARG_INT, &slots, 0, "Calls run at a time", "N"},
        {"service-us", 't', POPT_ARG_INT, &serviceMicroseconds, 0, "Time that a call takes", "MICROSECONDS"},
        {"cold-start-ms", 'c', POPT_ARG_INT, &coldStart, 0, "Time from the start to ready", "MILLISECONDS"},
        {"backlog", 0, POPT_ARG_INT, &backlog, 0, "Calls that wait for a slot at the most", "N"},
        {"connections", 0, POPT_ARG_INT, &connections, 0, "Connections accepted at a time", "N"},
        {"log-runs", 0, POPT_ARG_NONE, &logRuns, 0, "Write each execution to standard error", nullptr},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext("targetstandin", argc, argv, table, 0);
    if (poptGetNextOpt(context) < -1) {
        fmt::print(stderr, "targetstandin: unknown option; see --help\n");
        return 2;
    }
    Galenahill::TargetOptions options;
    options.address = address == nullptr ? "127.0.0.1" : address;
    options.port = static_cast<std::uint16_t>(port);
    options.slots = static_cast<std::uint32_t>(slots);
    options.serviceTime = std::chrono::microseconds(serviceMicroseconds);
    options.coldStart = Galenahill::Milliseconds(coldStart);
    options.backlog = static_cast<std::uint32_t>(backlog);
    options.connections = static_cast<std::uint32_t>(connections);
    options.logRuns = logRuns != 0;
    return Galenahill::run(options);
}
