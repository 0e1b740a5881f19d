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
// With --announce it announces itself to the node beside it and uses the fields
// that the platform's callers and targets use: it echoes the request's id, proves
// its answers, refuses what was meant for another target, and says when it didn't
// run a call.

#include "adapters/http/httpserver.h"
#include "announcer.h"
#include "platform/calldialect.h"
#include "serveuntilstopped.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>
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
    // Where the target announces itself; port zero: nowhere.
    Endpoint registration;
    // Address that it announces.
    Endpoint announcedAs;
    std::string heartbeatSample;
    std::string id;
    std::string service;
    std::string dataCentre;

    bool announces() const
    {
        return registration.port != 0;
    }
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
        if (m_options.announces()) {
            m_dialect = Platform::callDialect();
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

    asio::awaitable<HttpResponse> handle(HttpRequest request);

private:
    asio::awaitable<HttpResponse> runCall(HttpRequest request);
    HttpResponse health() const;
    HttpResponse load() const;
    HttpResponse admin(const HttpRequest &request);
    asio::awaitable<bool> takeSlot();
    std::string idOf(const HttpRequest &request) const;
    HttpResponse notRun(http::status status, const std::string &kind, const std::string &message) const;

    asio::io_context &m_context;
    TargetOptions m_options;
    // Empty names: the fields of the INI nodes.
    CallDialect m_dialect;
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
        auto response = health();
        if (!m_dialect.targetId.empty()) {
            response.set(m_dialect.targetId, m_options.id);
        }
        co_return response;
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

std::string Target::idOf(const HttpRequest &request) const
{
    return std::string(m_dialect.requestId.empty() ? request["Request-Id"] : request[m_dialect.requestId]);
}

HttpResponse Target::notRun(http::status status, const std::string &kind, const std::string &message) const
{
    auto response = makeErrorResponse(status, kind, message);
    if (!m_dialect.notExecuted.empty()) {
        response.set(m_dialect.notExecuted, "1");
    }
    return response;
}

asio::awaitable<HttpResponse> Target::runCall(HttpRequest request)
{
    const auto expected = m_dialect.expectedTarget.empty() ? boost::beast::string_view() : request[m_dialect.expectedTarget];
    if (!expected.empty() && expected != m_options.id) {
        co_return notRun(http::status::misdirected_request, "misdirected", "another target is at this address now");
    }
    if (Clock::now() < m_readyAt) {
        co_return notRun(http::status::service_unavailable, "starting", "the target is starting");
    }
    if (!co_await takeSlot()) {
        co_return notRun(http::status::service_unavailable, "overrun", "all slots are taken");
    }
    if (m_draining && Clock::now() > m_drainedAt + LeaveTime) {
        ++m_lateCalls;
    }
    const auto id = idOf(request);
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
    response.set(m_dialect.requestId.empty() ? "Request-Id" : m_dialect.requestId, id);
    if (!m_dialect.answerProof.empty()) {
        response.set(m_dialect.answerProof, m_options.id);
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
    char *announce = nullptr;
    char *announceAs = nullptr;
    char *sample = nullptr;
    char *id = nullptr;
    char *service = nullptr;
    char *dataCentre = nullptr;
    const poptOption table[] = {
        {"address", 'a', POPT_ARG_STRING, &address, 0, "IP number to listen on", "IP"},
        {"port", 'p', POPT_ARG_INT, &port, 0, "Port to listen on", "PORT"},
        {"slots", 's', POPT_ARG_INT, &slots, 0, "Calls run at a time", "N"},
        {"service-us", 't', POPT_ARG_INT, &serviceMicroseconds, 0, "Time that a call takes", "MICROSECONDS"},
        {"cold-start-ms", 'c', POPT_ARG_INT, &coldStart, 0, "Time from the start to ready", "MILLISECONDS"},
        {"backlog", 0, POPT_ARG_INT, &backlog, 0, "Calls that wait for a slot at the most", "N"},
        {"connections", 0, POPT_ARG_INT, &connections, 0, "Connections accepted at a time", "N"},
        {"announce", 0, POPT_ARG_STRING, &announce, 0, "Where to announce itself", "IP:PORT"},
        {"announce-as", 0, POPT_ARG_STRING, &announceAs, 0, "Address that it announces; its own by default", "IP:PORT"},
        {"heartbeat", 0, POPT_ARG_STRING, &sample, 0, "File that shows an announcement", "FILE"},
        {"id", 0, POPT_ARG_STRING, &id, 0, "Id that it announces", "ID"},
        {"service", 0, POPT_ARG_STRING, &service, 0, "Service that it announces", "NAME"},
        {"data-centre", 0, POPT_ARG_STRING, &dataCentre, 0, "Data centre that it announces", "NAME"},
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
    const auto text = [](const char *value) { return std::string(value == nullptr ? "" : value); };
    options.registration = Galenahill::endpointOf(text(announce)).value_or(Galenahill::Endpoint());
    options.announcedAs = Galenahill::endpointOf(text(announceAs)).value_or(Galenahill::Endpoint{options.address, options.port});
    options.heartbeatSample = text(sample);
    options.id = text(id);
    options.service = text(service);
    options.dataCentre = text(dataCentre);
    return Galenahill::run(options);
}
