#include "adapters/http/blockinghttpclient.h"
#include "core/config/contenthash.h"
#include "experiments.h"
#include "faultchecks.h"
#include "faultinjector.h"
#include "racingoperators.h"
#include "reconciliation.h"
#include "statuspoller.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace Galenahill {

namespace {

constexpr std::size_t Nodes = 12;
constexpr double CallsPerSecond = 200;
constexpr Milliseconds Length{12000};
constexpr Milliseconds QuickLength{4000};
constexpr Milliseconds InForceLimit{13000};
constexpr Milliseconds StartLimit{20000};

// The load continues for this long after the last fault, so that late effects are recorded.
constexpr Milliseconds CallsAfterFaults{3000};

// Attempts to apply the last change before the run is counted as failed.
constexpr int LastApplyAttempts = 12;

using NamedText = std::pair<std::string, std::string>;

std::vector<NamedText> exampleFiles(const std::string &examples)
{
    std::vector<NamedText> files;
    for (const std::string name : {"forja-services.ini", "forja-routes.ini"}) {
        std::ostringstream text;
        text << std::ifstream(fmt::format("{}/forja/{}", examples, name)).rdbuf();
        files.emplace_back(name, text.str());
    }
    return files;
}

std::vector<Endpoint> controlEndpoints(const Fleet &fleet)
{
    std::vector<Endpoint> endpoints;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        endpoints.push_back(fleet.control(node));
    }
    return endpoints;
}

// Retries an apply with the same id through one node after another until it is accepted, as an
// operator would. Returns false if every attempt failed.
bool applyUntilAccepted(const Fleet &fleet, std::size_t first, const NamedText &file, const std::string &id, std::vector<ApplyRecord> &records)
{
    for (int attempt = 0; attempt < LastApplyAttempts; ++attempt) {
        const auto node = (first + static_cast<std::size_t>(attempt)) % fleet.size();
        auto record = RacingOperators::apply(fleet.control(node), id, file.first, fmt::format("{}\n; {}\n", file.second, id));
        if (!record.error) {
            records.push_back(std::move(record));
            return true;
        }
        std::this_thread::sleep_for(Milliseconds(1000));
    }
    return false;
}

bool applyInitialFiles(Fleet &fleet, const std::vector<NamedText> &files)
{
    std::vector<ApplyRecord> records;
    for (const auto &file : files) {
        if (!applyUntilAccepted(fleet, 0, file, "first-" + file.first, records)) {
            return false;
        }
    }
    return fleet.waitForAll([](const nlohmann::json &status) { return status.value("revision", 0) >= 2; }, StartLimit).has_value();
}

std::vector<CallRecord> sendCalls(const Fleet &fleet, std::uint64_t seed, Milliseconds time)
{
    LoadGenerator::Options load;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        load.ingresses.push_back(fleet.ingress(node));
    }
    load.kinds = {{.method = "GET", .path = "/tablero/cola", .idempotent = true, .weight = 10},
        {.method = "GET", .path = "/ventas/pedidos", .idempotent = true, .weight = 3},
        {.method = "POST", .path = "/ventas/pedidos", .idempotent = false, .weight = 9},
        {.method = "POST", .path = "/taller/lotes", .idempotent = false, .weight = 1}};
    load.rate = CallsPerSecond;
    load.calls = static_cast<std::size_t>(CallsPerSecond * std::chrono::duration<double>(time).count());
    load.seed = seed;
    return LoadGenerator(load).run();
}

// Returns every head that the store had, from the history that the store keeps.
std::vector<HeadValue> headHistory(const Fleet &fleet)
{
    HttpRequest request(http::verb::get, "/admin/head-history", 11);
    request.set(http::field::host, toString(fleet.platform()));
    const auto response = blockingExchange(fleet.platform(), std::move(request), Milliseconds(5000));
    std::vector<HeadValue> heads;
    if (!response) {
        return heads;
    }
    for (const auto &value : nlohmann::json::parse(response->body())) {
        const auto text = value.get<std::string>();
        const auto head = nlohmann::json::parse(text);
        HeadValue entry{Revision(head.at("revision").get<std::uint64_t>()), contentHash(text), {}};
        for (const auto &change : head.at("changes")) {
            entry.applies.emplace_back(change.at("id").get<std::string>());
        }
        heads.push_back(std::move(entry));
    }
    return heads;
}

std::vector<std::size_t> liveNodes(Fleet &fleet)
{
    std::vector<std::size_t> live;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        if (fleet.nodeProcess(node)->running()) {
            live.push_back(node);
        }
    }
    return live;
}

Milliseconds lastFaultEnd(const std::vector<PlannedFault> &faults)
{
    Milliseconds last{0};
    for (const auto &fault : faults) {
        last = std::max(last, fault.end);
    }
    return last;
}

// Frequent applies conflict with each other; rare ones leave the store for a long time in the
// state in which a fault left it.
Milliseconds applyInterval(std::uint64_t seed)
{
    return Milliseconds(seed % 2 == 0 ? 1000 : 5000);
}

// Runs faults, load and applies, and collects the records. Returns false if the last change was
// never accepted.
bool runAndRecord(Fleet &fleet, const ExperimentOptions &options, const std::vector<NamedText> &files, FaultRunRecords &records)
{
    const auto schedule = scheduleFaults(options.seed, fleet.size(), fleet.dataCentres(), options.quick ? QuickLength : Length);
    FaultInjector injector(fleet);
    injector.backUpStore();
    StatusPoller poller(fleet);
    records.begin = Clock::now();
    std::thread callers([&] { records.calls = sendCalls(fleet, options.seed, lastFaultEnd(schedule) + CallsAfterFaults); });
    RacingOperators operators({.nodes = controlEndpoints(fleet), .files = files, .interval = applyInterval(options.seed), .seed = options.seed});
    records.faults = injector.injectAll(schedule);
    records.applies = operators.stop();
    const bool applied = applyUntilAccepted(fleet, options.seed, files.front(), "last", records.applies);
    records.heads = headHistory(fleet);
    const auto *last = highestHead(records);
    if (last != nullptr) {
        fleet.waitForAll([&](const nlohmann::json &status) { return status.value("digest", "") == last->digest.value(); }, InForceLimit);
    }
    callers.join();
    // Gives the poller time to sample the state that the wait above has seen.
    std::this_thread::sleep_for(5 * StatusPoller::Step);
    records.runningNodes = liveNodes(fleet);
    records.samples = poller.stop();
    records.ledger = fleet.loggedRuns();
    return applied;
}

std::int64_t millisecondsSinceBegin(const FaultRunRecords &records, TimePoint time)
{
    return std::chrono::duration_cast<Milliseconds>(time - records.begin).count();
}

std::size_t countWithOutcome(const FaultRunRecords &records, CallOutcome outcome)
{
    return static_cast<std::size_t>(std::count_if(records.calls.begin(), records.calls.end(), [&](const CallRecord &call) { return call.outcome == outcome; }));
}

// Milliseconds from the acceptance of the last change until the last node reported it, with the
// resolution of the polling interval; -1 if a node never reported it.
std::int64_t convergence(const FaultRunRecords &records)
{
    std::map<std::size_t, TimePoint> seen;
    const auto *last = highestHead(records);
    for (const auto &sample : records.samples) {
        if (last != nullptr && sample.digest == last->digest) {
            seen.emplace(sample.node, sample.respondedAt);
        }
    }
    auto latest = records.applies.back().endedAt;
    for (const auto &[node, time] : seen) {
        latest = std::max(latest, time);
    }
    return seen.size() < records.runningNodes.size() ? -1 : std::chrono::duration_cast<Milliseconds>(latest - records.applies.back().endedAt).count();
}

nlohmann::ordered_json toJson(const FaultRunRecords &records, const std::vector<Violation> &violations)
{
    nlohmann::ordered_json json;
    json["faults"] = nlohmann::json::array();
    for (const auto &fault : records.faults) {
        json["faults"].push_back({{"kind", fault.kind},
            {"begin_ms", millisecondsSinceBegin(records, fault.begin)},
            {"end_ms", millisecondsSinceBegin(records, fault.end)},
            {"nodes", fault.nodes}});
    }
    json["violations"] = nlohmann::json::array();
    for (const auto &violation : violations) {
        json["violations"].push_back(
            {{"promise", violation.guarantee}, {"record", violation.description}, {"when_ms", millisecondsSinceBegin(records, violation.when)}});
    }
    json["calls"] = records.calls.size();
    json["calls_answered"] = countWithOutcome(records, CallOutcome::Answered);
    json["calls_refused_not_run"] = countWithOutcome(records, CallOutcome::NotRun);
    json["calls_outcome_unknown"] = countWithOutcome(records, CallOutcome::Unknown);
    json["answers_crossed"] = countWithOutcome(records, CallOutcome::Mismatched);
    json["orders_run_twice"] = checkRunAtMostOnce(records).size();
    json["refused_but_run"] = checkRejections(records).size();
    json["answers_lost"] = checkResponsesMatchCalls(records).size();
    json["cut_off"] = checkPlannedStops(records).size();
    json["applies"] = records.applies.size();
    json["applies_accepted"] = std::count_if(records.applies.begin(), records.applies.end(), [](const ApplyRecord &apply) { return !apply.error; });
    json["heads"] = records.heads.size();
    json["convergence_ms"] = convergence(records);
    json["status_samples"] = records.samples.size();
    return json;
}

}

bool runFaults(const ExperimentOptions &options)
{
    // Calls of ventas (orders) take long enough that some are always in flight. Calls of taller
    // (lots) take longer than the pauses of a planned stop, so that they only complete if the
    // stopping node waits for them.
    Fleet fleet({.programs = options.programs,
        .folder = options.folder,
        .nodes = Nodes,
        .dataCentres = {"rosario-a", "rosario-b", "cordoba-a", "cordoba-b"},
        .services = {{.name = "tablero"}, {.name = "ventas", .serviceMicroseconds = 100000}, {.name = "taller", .serviceMicroseconds = 1200000}},
        .logRuns = true,
        .settings = "[testing]\nlink-faults = yes\n"});
    const auto begin = Clock::now();
    const auto files = exampleFiles(options.examples);
    const auto started = fleet.start();
    if (!started || !applyInitialFiles(fleet, files)) {
        fmt::print(stderr,
            "{}\n",
            started ? "the first files did not come into force within the time limit; see the logs in the folder of the run" : started.error().message);
        return false;
    }
    FaultRunRecords records;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        records.services.push_back(fleet.service(node).name);
    }
    const bool applied = runAndRecord(fleet, options, files, records);
    const auto unclean = fleet.stop();
    const auto violations = checkAllGuarantees(records);
    nlohmann::ordered_json line
        = {{"bench", "faults"}, {"commit", options.commit}, {"seed", options.seed}, {"nodes", Nodes}, {"seconds", 0}, {"last_apply_accepted", applied}};
    line.update(toJson(records, violations));
    line["unclean_stops"] = unclean;
    line["seconds"] = std::chrono::duration<double>(Clock::now() - begin).count();
    fmt::print("{}\n", line.dump());
    return applied && violations.empty() && unclean == 0;
}

}
