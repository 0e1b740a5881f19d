#include "adapters/http/blockinghttpclient.h"
#include "cli/nodeconnection.h"
#include "experiments.h"
#include "fleet.h"
#include "processusage.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace Galenahill {

namespace {

constexpr Milliseconds ConvergenceLimit{13000};
constexpr Milliseconds PollingStep{5};

// Time after the start until gossip about the joins has ended: each node forwards one record of
// every other node, eight records per datagram.
constexpr Milliseconds SettleTime{8000};
constexpr Milliseconds SettleTimePerNode{150};

// Time after a change until the last datagrams about it have been sent.
constexpr Milliseconds ChangeTail{1500};

struct Variant
{
    std::string name;
    // Lines for the section [fleet] of the settings.
    std::string settings;
};

const std::vector<Variant> &variants()
{
    static const std::vector<Variant> all = {
        {"default", ""},
        {"prefer-time", "prefer = time\n"},
        {"prefer-bytes", "prefer = bytes\n"},
        {"fan-out-2", "fan-out = 2\n"},
        {"fan-out-4", "fan-out = 4\n"},
        {"watchers-1", "watchers = 1\n"},
        {"watchers-4", "watchers = 4\n"},
        {"loss-5", "drop-percent = 5\n"},
    };
    return all;
}

// Sum of the counters of all nodes at one time.
struct Totals
{
    // Each byte is counted at its sender and at its receiver.
    double gossipBytes = 0;
    double pullBytes = 0;
    double joinBytes = 0;
    double datagrams = 0;
    TimePoint at;

    double bytes() const
    {
        return gossipBytes + pullBytes + joinBytes;
    }
};

struct Change
{
    double convergenceMs = 0;
    double deltaBytes = 0;
};

Totals totals(const Fleet &fleet)
{
    Totals sum;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        const auto status = fleet.status(node);
        if (!status) {
            continue;
        }
        const auto &counters = status->at("counters");
        sum.gossipBytes += counters.at("datagram_bytes").get<double>();
        // Only the requesting node counts the bytes of pulls and joins; the responding member
        // transfers the same number.
        sum.pullBytes += 2 * counters.at("pull_bytes").get<double>();
        sum.joinBytes += 2 * counters.at("join_bytes").get<double>();
        sum.datagrams += counters.at("datagrams").get<double>();
    }
    sum.at = Clock::now();
    return sum;
}

double secondsBetween(TimePoint begin, TimePoint end)
{
    return std::chrono::duration<double>(end - begin).count();
}

std::string readText(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

nlohmann::json storeCounters(const Fleet &fleet)
{
    HttpRequest request(http::verb::get, "/admin/counters", 11);
    request.set(http::field::host, toString(fleet.platform()));
    const auto response = blockingExchange(fleet.platform(), std::move(request), Milliseconds(2000));
    return response ? nlohmann::json::parse(response->body(), nullptr, false) : nlohmann::json::object();
}

double callCountBetween(const nlohmann::json &before, const nlohmann::json &after, const std::vector<std::string> &kinds)
{
    double calls = 0;
    for (const auto &kind : kinds) {
        calls += after.value(kind, 0.0) - before.value(kind, 0.0);
    }
    return calls;
}

double deltaSizeAgainst(const Fleet &fleet, const std::string &base)
{
    HttpRequest request(http::verb::get, "/config?base=" + base, 11);
    request.set(http::field::host, toString(fleet.control(0)));
    const auto response = blockingExchange(fleet.control(0), std::move(request), Milliseconds(2000));
    return response ? static_cast<double>(response->body().size()) : 0;
}

Result<Change> applyOnce(Fleet &fleet, std::size_t node, const std::string &file, const std::string &text)
{
    const auto before = fleet.status(0);
    NodeConnection connection(fleet.control(node));
    const auto id = fmt::format("distribution-{}", Clock::now().time_since_epoch().count());
    const auto result = connection.call("apply", {{"apply", id}, {"file", file}, {"text", text}, {"operator", "bench"}});
    if (!result) {
        return tl::unexpected(result.error());
    }
    const auto accepted = Clock::now();
    const auto revision = result->at("revision").get<std::uint64_t>();
    const auto serves = [&](const nlohmann::json &status) { return status.value("revision", std::uint64_t(0)) >= revision; };
    if (!fleet.waitForAll(serves, ConvergenceLimit, PollingStep)) {
        return failure(ErrorKind::Unavailable, fmt::format("revision {} is not in force on all nodes after {} ms", revision, ConvergenceLimit.count()));
    }
    const auto time = 1000 * secondsBetween(accepted, Clock::now());
    return Change{time, before ? deltaSizeAgainst(fleet, before->value("digest", "none")) : 0};
}

double percentile(std::vector<double> values, double quantile)
{
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(values.size())));
    return values.empty() ? 0 : values[std::max<std::size_t>(index, 1) - 1];
}

class Run
{
public:
    Run(const ExperimentOptions &options, const Variant &variant, std::size_t nodes)
        : m_options(options)
        , m_variant(variant)
        , m_fleet({.programs = options.programs,
              .folder = fmt::format("{}/{}-{}", options.folder, variant.name, nodes),
              .nodes = nodes,
              .dataCentres = {"rosario-a", "rosario-b", "cordoba-a", "cordoba-b", "lk-west-a"},
              .services = {{.name = "tablero"}, {.name = "ventas"}, {.name = "taller"}},
              .targets = false,
              .settings = variant.settings.empty() ? "" : "[fleet]\n" + variant.settings})
    {
    }

    // Prints one line. Returns false if a change did not reach every node.
    bool run();

private:
    bool measureIdle();
    bool measureChanges();
    void print() const;

    const ExperimentOptions &m_options;
    const Variant &m_variant;
    Fleet m_fleet;
    TimePoint m_begin = Clock::now();
    double m_idleBytes = 0;
    double m_idleDatagrams = 0;
    double m_cpuPercent = 0;
    double m_rssMb = 0;
    double m_reads = 0;
    double m_writes = 0;
    double m_watches = 0;
    double m_changeBytes = 0;
    double m_changePullBytes = 0;
    std::vector<double> m_convergence;
    double m_deltaBytes = 0;
};

bool Run::measureIdle()
{
    std::this_thread::sleep_for(SettleTime + SettleTimePerNode * m_fleet.size());
    const auto window = std::chrono::seconds(m_options.quick ? 10 : 25);
    const auto storeBefore = storeCounters(m_fleet);
    const auto usageBefore = processUsage(m_fleet);
    const auto before = totals(m_fleet);
    std::this_thread::sleep_for(window);
    const auto usage = processUsage(m_fleet);
    const auto after = totals(m_fleet);
    const auto store = storeCounters(m_fleet);
    const auto nodes = static_cast<double>(m_fleet.size());
    const auto seconds = secondsBetween(before.at, after.at);
    m_idleBytes = (after.bytes() - before.bytes()) / seconds / nodes;
    m_idleDatagrams = (after.datagrams - before.datagrams) / seconds / nodes;
    m_cpuPercent = 100 * (usage.cpuSeconds - usageBefore.cpuSeconds) / secondsBetween(usageBefore.at, usage.at) / nodes;
    m_rssMb = usage.largestRssMb;
    m_reads = callCountBetween(storeBefore, store, {"read", "list"}) / seconds;
    m_writes = callCountBetween(storeBefore, store, {"write"}) / seconds;
    m_watches = callCountBetween(storeBefore, store, {"watch"}) / seconds;
    return true;
}

bool Run::measureChanges()
{
    const auto text = readText(m_options.examples + "/forja/forja-services.ini");
    if (const auto first = applyOnce(m_fleet, 0, "forja-services.ini", text); !first) {
        fmt::print(stderr, "{}\n", first.error().message);
        return false;
    }
    std::this_thread::sleep_for(ChangeTail);
    const auto changes = m_options.quick ? 8U : 20U;
    const auto before = totals(m_fleet);
    for (std::size_t i = 0; i < changes; ++i) {
        const auto node = (m_options.seed + i * 7) % m_fleet.size();
        const auto change = applyOnce(m_fleet, node, "forja-services.ini", text + fmt::format("; change {}\n", i));
        if (!change) {
            fmt::print(stderr, "{}\n", change.error().message);
            return false;
        }
        m_convergence.push_back(change->convergenceMs);
        m_deltaBytes += change->deltaBytes / changes;
        std::this_thread::sleep_for(ChangeTail);
    }
    const auto after = totals(m_fleet);
    const auto nodes = static_cast<double>(m_fleet.size());
    const auto idle = m_idleBytes * secondsBetween(before.at, after.at);
    m_changeBytes = ((after.bytes() - before.bytes()) / nodes - idle) / changes;
    m_changePullBytes = (after.pullBytes - before.pullBytes) / nodes / changes;
    return true;
}

void Run::print() const
{
    const nlohmann::ordered_json line = {{"bench", "distribution"},
        {"commit", m_options.commit},
        {"seed", m_options.seed},
        {"nodes", m_fleet.size()},
        {"seconds", secondsBetween(m_begin, Clock::now())},
        {"variant", m_variant.name},
        {"polling_step_ms", PollingStep.count()},
        {"convergence_ms_p50", percentile(m_convergence, 0.5)},
        {"convergence_ms_p99", percentile(m_convergence, 0.99)},
        {"convergence_ms_max", percentile(m_convergence, 1)},
        {"changes", m_convergence.size()},
        {"idle_bytes_per_node_s", m_idleBytes},
        {"idle_datagrams_per_node_s", m_idleDatagrams},
        {"bytes_per_change_per_node", m_changeBytes},
        {"pull_bytes_per_change_per_node", m_changePullBytes},
        {"delta_bytes", m_deltaBytes},
        {"bytes_ratio", m_deltaBytes > 0 ? m_changeBytes / m_deltaBytes : 0},
        // Counts each byte only once, at its receiver.
        {"bytes_ratio_received", m_deltaBytes > 0 ? m_changeBytes / m_deltaBytes / 2 : 0},
        {"store_reads_s", m_reads},
        {"store_writes_s", m_writes},
        {"store_watches", m_watches},
        {"cpu_percent", m_cpuPercent},
        {"rss_mb", m_rssMb}};
    fmt::print("{}\n", line.dump());
    std::fflush(stdout);
}

bool Run::run()
{
    if (const auto started = m_fleet.start(); !started) {
        fmt::print(stderr, "{}\n", started.error().message);
        return false;
    }
    fmt::print(stderr, "{}: {} nodes know each other after {:.1f} s\n", m_variant.name, m_fleet.size(), secondsBetween(m_begin, Clock::now()));
    const bool converged = measureIdle() && measureChanges();
    print();
    m_fleet.stop();
    return converged;
}

}

bool runDistribution(const ExperimentOptions &options)
{
    const auto sizes = options.nodes.empty() ? std::vector<std::size_t>{10, 25, 50, 100, 200} : options.nodes;
    bool held = true;
    for (const auto &variant : variants()) {
        const bool wanted = options.variants.empty() || std::find(options.variants.begin(), options.variants.end(), variant.name) != options.variants.end();
        for (const auto size : sizes) {
            held = (!wanted || Run(options, variant, size).run()) && held;
        }
    }
    return held;
}

}
