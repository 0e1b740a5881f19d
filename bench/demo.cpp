#include "cli/nodeconnection.h"
#include "experiments.h"
#include "fleet.h"
#include "loadgenerator.h"
#include "reconciliation.h"

#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace Galenahill {

namespace {

constexpr std::size_t Calls = 2000;
constexpr Milliseconds ConvergenceLimit{13000};

std::string readText(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

// Applies a file through a node and waits until all nodes serve it. Returns the milliseconds since
// the apply was accepted.
Result<std::int64_t> applyAndWait(Fleet &fleet, std::size_t node, const std::string &name, const std::string &text)
{
    NodeConnection connection(fleet.control(node));
    const auto begin = Clock::now();
    const auto result = connection.call(
        "apply", {{"apply", fmt::format("demo-{}-{}", name, begin.time_since_epoch().count())}, {"file", name}, {"text", text}, {"operator", "demo"}});
    if (!result) {
        return tl::unexpected(result.error());
    }
    const auto accepted = Clock::now();
    const auto revision = result->at("revision").get<std::uint64_t>();
    const auto waited
        = fleet.waitForAll([&](const nlohmann::json &status) { return status.value("revision", std::uint64_t(0)) >= revision; }, ConvergenceLimit);
    if (!waited) {
        return failure(ErrorKind::Unavailable, fmt::format("revision {} is not in force on all nodes after {} ms", revision, ConvergenceLimit.count()));
    }
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - accepted).count();
}

// Applies a file whose route names a service that no file defines. Returns true if it was rejected
// as invalid.
bool rejectsUndefinedService(Fleet &fleet)
{
    NodeConnection connection(fleet.control(1));
    const auto result = connection.call("apply",
        {{"apply", "demo-hanging"},
            {"file", "hanging.ini"},
            {"text", "[route hanging]\npath = /hanging\nmethods = GET\nservice = venta\nidempotent = yes\ntimeout-ms = 1000\n"},
            {"operator", "demo"}});
    const bool rejected = !result && result.error().kind == ErrorKind::Invalid;
    fmt::print(stderr, "invalid file was rejected: {}\n", rejected ? result.error().message : "NO");
    return rejected;
}

std::set<std::uint64_t> revisionsInForce(const Fleet &fleet)
{
    std::set<std::uint64_t> revisions;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        const auto status = fleet.status(node);
        revisions.insert(status ? status->value("revision", std::uint64_t(0)) : 0);
    }
    return revisions;
}

double controlBytesPerNode(const Fleet &fleet)
{
    double bytes = 0;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        if (const auto status = fleet.status(node)) {
            const auto &counters = status->at("counters");
            bytes += counters.at("datagram_bytes").get<double>() + counters.at("control_http_bytes").get<double>();
        }
    }
    return bytes / static_cast<double>(fleet.size());
}

std::vector<CallRecord> sendCalls(const Fleet &fleet, const ExperimentOptions &options, std::size_t calls, const std::string &prefix)
{
    LoadGenerator::Options load;
    for (std::size_t node = 0; node < fleet.size(); node += 3) {
        load.ingresses.push_back(fleet.ingress(node));
    }
    load.kinds = {{.method = "GET", .path = "/tablero/cola", .idempotent = true, .weight = 3},
        {.method = "POST", .path = "/ventas/pedidos", .idempotent = false, .weight = 2},
        {.method = "POST", .path = "/taller/lotes", .idempotent = false, .weight = 1}};
    load.rate = 500;
    load.calls = calls;
    load.seed = options.seed;
    load.idPrefix = prefix;
    return LoadGenerator(load).run();
}

}

bool runDemo(const ExperimentOptions &options)
{
    Fleet fleet({.programs = options.programs,
        .folder = options.folder,
        .nodes = 12,
        .dataCentres = {"rosario-a", "rosario-b", "cordoba-a", "cordoba-b"},
        .services = {{.name = "tablero"}, {.name = "ventas"}, {.name = "taller"}},
        .settings = {}});
    const auto begin = Clock::now();
    if (const auto started = fleet.start(); !started) {
        fmt::print(stderr, "{}\n", started.error().message);
        return false;
    }
    fmt::print(stderr, "{} nodes are up\n", fleet.size());
    nlohmann::json convergence = nlohmann::json::array();
    bool applied = true;
    const auto apply = [&](std::size_t node, const std::string &name, const std::string &text) {
        const auto time = applyAndWait(fleet, node, name, text);
        applied = applied && time.has_value();
        convergence.push_back(time ? nlohmann::json(*time) : nlohmann::json());
        fmt::print(stderr, "{}: {}\n", name, time ? fmt::format("in force on all nodes after {} ms", *time) : time.error().message);
    };
    for (const std::string name : {"forja-services.ini", "forja-routes.ini"}) {
        apply(0, name, readText(options.examples + "/forja/" + name));
    }
    auto records = sendCalls(fleet, options, Calls / 2, "first");
    apply(5, "forja-services.ini", readText(options.examples + "/forja/forja-services.ini") + "\n; changed by the demo\n");
    const bool rejected = rejectsUndefinedService(fleet);
    const auto more = sendCalls(fleet, options, Calls / 2, "second");
    records.insert(records.end(), more.begin(), more.end());

    const auto calls = reconcile(fleet, records);
    const auto revisions = revisionsInForce(fleet);
    const auto bytes = controlBytesPerNode(fleet);
    const auto seconds = std::chrono::duration<double>(Clock::now() - begin).count();
    const auto unclean = fleet.stop();
    const nlohmann::ordered_json line = {{"bench", "demo"},
        {"commit", options.commit},
        {"seed", options.seed},
        {"nodes", fleet.size()},
        {"seconds", seconds},
        {"calls_sent", calls.sent},
        {"calls_answered", calls.answered},
        {"calls_refused_not_run", calls.notRun},
        {"calls_outcome_unknown", calls.unknown},
        {"orders_run_twice", calls.runTwice},
        {"answers_crossed", calls.mismatched},
        {"answers_lost", calls.answeredButNotRun},
        {"refused_but_run", calls.refusedButRun},
        {"convergence_ms", convergence},
        {"control_bytes_per_node", bytes},
        {"revision_in_force", revisions.size() == 1 ? nlohmann::json(*revisions.begin()) : nlohmann::json()},
        {"unclean_stops", unclean}};
    fmt::print("{}\n", line.dump());
    return applied && rejected && calls.isConsistent() && calls.answered > 0 && revisions.size() == 1 && unclean == 0;
}

}
