#include "adapters/http/blockinghttpclient.h"
#include "cli/nodeconnection.h"
#include "experiments.h"
#include "fleet.h"
#include "loadgenerator.h"
#include "reconciliation.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <functional>
#include <nlohmann/json.hpp>
#include <thread>

namespace Galenahill {

namespace {

constexpr std::size_t Targets = 4;
constexpr std::uint32_t Slots = 6;
constexpr std::uint32_t ServiceMicroseconds = 20000;

// Calls per second that all slots together can run.
constexpr double Capacity = Targets * Slots * 1e6 / ServiceMicroseconds;

constexpr std::uint32_t SlowFactor = 20;
constexpr std::uint32_t Backlog = 100;
constexpr Milliseconds ConfigLimit{13000};
constexpr Milliseconds CallTimeout{2000};
constexpr Milliseconds AdminTimeout{2000};
constexpr Milliseconds ColdStart{500};
constexpr Milliseconds ReadyLimit{10000};
// Calls scheduled in the first part of a run are excluded from goodput and latency.
constexpr std::chrono::microseconds WarmUp{500000};

constexpr const char *Services = "[service tablero]\ndata-centres = rosario-a, rosario-b, cordoba-a, cordoba-b\nslots = 6\nconnections = 120\n";
constexpr const char *Routes = "[route lectura]\npath = /tablero\nmethods = GET\nservice = tablero\nidempotent = yes\ntimeout-ms = 300\nretries = 2\n"
                               "[route pedidos]\npath = /tablero\nmethods = POST\nservice = tablero\nidempotent = no\ntimeout-ms = 300\n";

// Injects the fault of a case into the fleet while the load runs.
using Fault = std::function<void(Fleet &fleet, Milliseconds runTime)>;

struct Case
{
    std::string name;
    // Load as a fraction of the capacity.
    double load = 0.5;
    Fault fault;
};

struct Variant
{
    std::string name;
    // Decisions that are switched off or replaced; see CallPolicy.
    std::string without;
    std::vector<std::string> cases;
};

struct Run
{
    std::vector<CallRecord> records;
    Milliseconds time{0};
};

void controlTarget(const Fleet &fleet, std::size_t node, const nlohmann::json &behaviour)
{
    HttpRequest request(http::verb::post, "/admin", 11);
    request.set(http::field::host, toString(fleet.target(node)));
    request.body() = behaviour.dump();
    request.prepare_payload();
    if (!blockingExchange(fleet.target(node), std::move(request), AdminTimeout)) {
        fmt::print(stderr, "target {} did not respond to a control request on /admin; the run continues\n", node);
    }
}

std::uint64_t loadCounter(const Fleet &fleet, std::size_t node, const std::string &key)
{
    HttpRequest request(http::verb::get, "/load", 11);
    request.set(http::field::host, toString(fleet.target(node)));
    const auto response = blockingExchange(fleet.target(node), std::move(request), AdminTimeout);
    return response ? nlohmann::json::parse(response->body()).value(key, std::uint64_t(0)) : 0;
}

void waitReady(Fleet &fleet)
{
    const auto ready = [&](const nlohmann::json &status) { return status.value("state", "") == "ready" && status.value("members", std::size_t(0)) == Targets; };
    if (!fleet.waitForAll(ready, ReadyLimit, Milliseconds(50))) {
        fmt::print(stderr, "not all targets are ready after {} ms; the run continues\n", ReadyLimit.count());
    }
}

void sleepFraction(Milliseconds runTime, double fraction)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(static_cast<double>(runTime.count()) * fraction));
}

// Changes the behaviour of target 0 after a quarter of the run, and restores it after three
// quarters.
Fault targetFault(nlohmann::json begin, nlohmann::json end)
{
    return [begin, end](Fleet &fleet, Milliseconds runTime) {
        sleepFraction(runTime, 0.25);
        controlTarget(fleet, 0, begin);
        sleepFraction(runTime, 0.5);
        controlTarget(fleet, 0, end);
    };
}

void restartNodes(Fleet &fleet, Milliseconds)
{
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        fleet.nodeProcess(node)->signal(SIGTERM);
        fleet.nodeProcess(node)->wait();
        fleet.startNode(node);
        waitReady(fleet);
    }
}

std::vector<Case> allCases()
{
    const nlohmann::json normal = {{"service_us", ServiceMicroseconds}};
    return {{.name = "half-load"},
        {.name = "overload-2x", .load = 2},
        {.name = "overload-5x", .load = 5},
        {.name = "frozen", .fault = targetFault({{"freeze", true}}, {{"freeze", false}})},
        {.name = "slow", .fault = targetFault({{"service_us", ServiceMicroseconds * SlowFactor}}, normal)},
        // The target has one slot, while its health and load endpoints report ready and idle.
        {.name = "misreporting", .fault = targetFault({{"misreport", true}, {"slots", 1}}, {{"misreport", false}, {"slots", Slots}})},
        {.name = "cold", .fault = targetFault({{"cold_ms", ColdStart.count()}}, normal)},
        {.name = "drain", .fault = targetFault({{"drain", true}}, {{"drain", false}})},
        {.name = "rolling", .fault = restartNodes}};
}

std::vector<Variant> allVariants()
{
    return {{.name = "galenahill"},
        {.name = "round-robin", .without = "round-robin,no-ejection", .cases = {"half-load", "frozen", "slow"}},
        {.name = "no-admission", .without = "no-admission", .cases = {"overload-2x", "overload-5x", "misreporting"}},
        {.name = "naive-retry", .without = "naive-retry", .cases = {"overload-2x", "frozen", "slow"}},
        {.name = "no-queue", .without = "no-queue", .cases = {"half-load", "overload-2x"}},
        {.name = "newest-first", .without = "newest-first", .cases = {"half-load", "overload-2x", "overload-5x"}},
        {.name = "no-adaptive", .without = "no-adaptive", .cases = {"half-load", "overload-2x", "misreporting", "slow"}}};
}

bool apply(Fleet &fleet, const std::string &name, const std::string &text)
{
    NodeConnection connection(fleet.control(0));
    const auto id = fmt::format("calls-{}-{}", name, Clock::now().time_since_epoch().count());
    const auto result = connection.call("apply", {{"apply", id}, {"file", name}, {"text", text}, {"operator", "bench"}});
    if (!result) {
        fmt::print(stderr, "{}\n", result.error().message);
        return false;
    }
    const auto revision = result->at("revision").get<std::uint64_t>();
    const auto inForce = [&](const nlohmann::json &status) { return status.value("revision", std::uint64_t(0)) >= revision; };
    return fleet.waitForAll(inForce, ConfigLimit).has_value();
}

Run sendLoad(const std::vector<Endpoint> &endpoints, double rate, Milliseconds time, std::uint64_t seed, const std::string &prefix)
{
    LoadGenerator::Options load;
    load.ingresses = endpoints;
    load.kinds = {{.method = "GET", .path = "/tablero/cola", .idempotent = true, .weight = 4},
        {.method = "POST", .path = "/tablero/pedidos", .idempotent = false, .weight = 1}};
    load.rate = rate;
    load.calls = static_cast<std::size_t>(rate * static_cast<double>(time.count()) / 1000);
    load.timeout = CallTimeout;
    load.seed = seed;
    load.idPrefix = prefix;
    return {LoadGenerator(load).run(), time};
}

bool isMeasured(const CallRecord &record)
{
    return record.scheduled >= WarmUp;
}

// Latency in milliseconds at the given quantile of the answered calls.
double percentile(const std::vector<CallRecord> &records, double quantile)
{
    std::vector<std::int64_t> latencies;
    for (const auto &record : records) {
        if (isMeasured(record) && record.outcome == CallOutcome::Answered) {
            latencies.push_back(record.latency.count());
        }
    }
    if (latencies.empty()) {
        return 0;
    }
    const auto position = latencies.begin() + static_cast<std::ptrdiff_t>(quantile * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), position, latencies.end());
    return static_cast<double>(*position) / 1000;
}

// Calls per second that were answered while the load ran, as a fraction of the capacity.
double goodput(const Run &run)
{
    const auto end = std::chrono::duration_cast<std::chrono::microseconds>(run.time);
    const auto answered = std::count_if(run.records.begin(), run.records.end(), [&](const CallRecord &record) {
        const auto finished = record.scheduled + record.latency;
        return record.outcome == CallOutcome::Answered && finished >= WarmUp && finished <= end;
    });
    return static_cast<double>(answered) / (std::chrono::duration<double>(end - WarmUp).count() * Capacity);
}

double failedRatio(const std::vector<CallRecord> &records, bool idempotentOnly)
{
    std::size_t all = 0;
    std::size_t failed = 0;
    for (const auto &record : records) {
        const bool isCounted = record.idempotent || !idempotentOnly;
        all += isCounted ? 1 : 0;
        failed += isCounted && record.outcome != CallOutcome::Answered ? 1 : 0;
    }
    return all == 0 ? 0 : static_cast<double>(failed) / static_cast<double>(all);
}

std::size_t countInterrupted(const std::vector<CallRecord> &records)
{
    return static_cast<std::size_t>(
        std::count_if(records.begin(), records.end(), [](const CallRecord &record) { return record.outcome == CallOutcome::Unknown && record.status == 0; }));
}

double totalRetries(const Fleet &fleet)
{
    double sum = 0;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        const auto status = fleet.status(node);
        sum += status && status->contains("counters") ? status->at("counters").value("call_retries", 0.0) : 0.0;
    }
    return sum;
}

struct DirectLatency
{
    double p50 = 0;
    double p99 = 0;
};

class CallsExperiment
{
public:
    CallsExperiment(const ExperimentOptions &options, Variant variant)
        : m_options(options)
        , m_variant(std::move(variant))
        , m_time(options.quick ? 2500 : 8000)
    {
    }

    bool run();

private:
    std::vector<Endpoint> ingresses(const Fleet &fleet) const;
    DirectLatency measureDirect(const Fleet &fleet);
    bool runCase(Fleet &fleet, const Case &kind, const DirectLatency &direct);

    const ExperimentOptions &m_options;
    Variant m_variant;
    Milliseconds m_time;
};

std::vector<Endpoint> CallsExperiment::ingresses(const Fleet &fleet) const
{
    std::vector<Endpoint> result;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        result.push_back(fleet.ingress(node));
    }
    return result;
}

// Measures the latency of calls that go directly to the targets at a quarter of the capacity, so
// that the latency added by the nodes can be separated from that of the machine.
DirectLatency CallsExperiment::measureDirect(const Fleet &fleet)
{
    std::vector<Endpoint> targets;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        targets.push_back(fleet.target(node));
    }
    const auto run = sendLoad(targets, Capacity / 4, m_time, m_options.seed, "direct");
    return {percentile(run.records, 0.5), percentile(run.records, 0.99)};
}

bool CallsExperiment::runCase(Fleet &fleet, const Case &kind, const DirectLatency &direct)
{
    fmt::print(stderr, "{} / {}\n", m_variant.name, kind.name);
    waitReady(fleet);
    const auto begin = Clock::now();
    const auto retriesBefore = totalRetries(fleet);
    std::thread fault([&] {
        if (kind.fault) {
            kind.fault(fleet, m_time);
        }
    });
    const auto time = kind.name == "rolling" ? Milliseconds(16000) : m_time;
    const auto run = sendLoad(ingresses(fleet), Capacity * kind.load, time, m_options.seed, kind.name);
    fault.join();
    const auto calls = reconcile(fleet, run.records);
    const auto lateCalls = loadCounter(fleet, 0, "late_calls");
    const bool planned = kind.name == "drain" || kind.name == "rolling";
    const auto interrupted = countInterrupted(run.records);
    const nlohmann::ordered_json line = {{"bench", "calls"},
        {"commit", m_options.commit},
        {"seed", m_options.seed},
        {"nodes", fleet.size()},
        {"seconds", std::chrono::duration<double>(Clock::now() - begin).count()},
        {"case", kind.name},
        {"variant", m_variant.name},
        {"sent", calls.sent},
        {"refused_not_run", calls.notRun},
        {"outcome_unknown", calls.unknown},
        {"added_ms_p50", percentile(run.records, 0.5) - direct.p50},
        {"added_ms_p99", percentile(run.records, 0.99) - direct.p99},
        {"direct_ms_p50", direct.p50},
        {"direct_ms_p99", direct.p99},
        {"goodput_ratio", goodput(run)},
        {"failed_ratio", failedRatio(run.records, false)},
        {"failed_idempotent_ratio", failedRatio(run.records, true)},
        {"retries_ratio", (totalRetries(fleet) - retriesBefore) / static_cast<double>(calls.sent)},
        {"run_twice", calls.runTwice},
        {"crossed", calls.mismatched},
        {"refused_but_run", calls.refusedButRun},
        {"lost", calls.answeredButNotRun},
        {"cut_off", interrupted},
        {"late_calls", lateCalls}};
    fmt::print("{}\n", line.dump());
    std::fflush(stdout);
    return calls.isConsistent() && (!planned || (interrupted == 0 && lateCalls == 0));
}

bool CallsExperiment::run()
{
    setenv("GALENAHILL_BENCH_WITHOUT", m_variant.without.c_str(), 1);
    Fleet fleet({.programs = m_options.programs,
        .folder = m_options.folder + "/" + m_variant.name,
        .nodes = Targets,
        .dataCentres = {"rosario-a", "rosario-b", "cordoba-a", "cordoba-b"},
        .services = {{.name = "tablero", .slots = Slots, .serviceMicroseconds = ServiceMicroseconds, .coldStartMs = ColdStart.count(), .backlog = Backlog}},
        .settings = {}});
    if (const auto started = fleet.start(); !started) {
        fmt::print(stderr, "{}\n", started.error().message);
        return false;
    }
    if (!apply(fleet, "services.ini", Services) || !apply(fleet, "routes.ini", Routes)) {
        return false;
    }
    const auto direct = measureDirect(fleet);
    bool holds = true;
    for (const auto &kind : allCases()) {
        const auto &wanted = m_variant.cases;
        if (wanted.empty() || std::find(wanted.begin(), wanted.end(), kind.name) != wanted.end()) {
            holds = runCase(fleet, kind, direct) && holds;
        }
    }
    return fleet.stop() == 0 && holds;
}

}

bool runCalls(const ExperimentOptions &options)
{
    bool holds = true;
    for (const auto &variant : allVariants()) {
        const auto &wanted = options.variants;
        if (!wanted.empty() && std::find(wanted.begin(), wanted.end(), variant.name) == wanted.end()) {
            continue;
        }
        // The other variants are baselines for comparison; only violations of the unchanged system
        // make the experiment fail.
        const bool held = CallsExperiment(options, variant).run();
        holds = holds && (held || !variant.without.empty());
    }
    return holds;
}

}
