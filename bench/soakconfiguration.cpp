#include "soak_p.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <numeric>
#include <thread>

namespace Galenahill {

namespace {

// Time in which a change has to be in force, and while the store does not serve all nodes as usual, or the processes get a
// share of a core only.
constexpr Milliseconds ApplyTime{2000};
constexpr Milliseconds ImpairedApplyTime{7000};

// Longer than a change may take to be in force.
constexpr Milliseconds ImpairedTime{8500};

// Time after the end of a disruption for which it counts.
constexpr Milliseconds SettleTime{3000};

constexpr Milliseconds CheckInterval{250};
constexpr Milliseconds ConfirmInterval{100};
constexpr int Confirmations = 3;

// Changes come in series.
constexpr int MaxSeriesChanges = 5;
constexpr int MaxChangePauseMs = 400;
constexpr int MaxSeriesPauseMs = 3000;

}

Soak::Fault Soak::storeDisruption(Fault fault, bool ofAllNodes)
{
    const auto begin = fault.begin;
    const auto end = fault.end;
    const auto index = std::make_shared<std::size_t>(0);
    fault.begin = [=, this] {
        {
            const std::lock_guard lock(m_mutex);
            *index = m_storeDisruptions.size();
            m_storeDisruptions.push_back({.begin = Clock::now(), .end = TimePoint::max(), .ofAllNodes = ofAllNodes});
        }
        begin();
    };
    fault.end = [=, this] {
        end();
        const std::lock_guard lock(m_mutex);
        m_storeDisruptions[*index].end = Clock::now();
    };
    return fault;
}

// The store serves some nodes only, by rejecting the others or by silence, often to those that watch it; or it serves all, and its
// watches say nothing.
Soak::Fault Soak::partialStoreFault(std::mt19937_64 &random)
{
    if (random() % 4 == 0) {
        return {"stall-watches", "store", [this] { setStoreMode("stall-watches"); }, [this] { setStoreMode("none"); }};
    }
    std::vector<std::size_t> nodes(m_nodes);
    std::iota(nodes.begin(), nodes.end(), std::size_t(0));
    std::shuffle(nodes.begin(), nodes.end(), random);
    nodes.resize(1 + random() % (m_nodes - 1));
    const auto watchers = m_fleet.watchers();
    if (random() % 2 == 0 && watchers.size() < m_nodes) {
        nodes = watchers;
    }
    if (random() % 3 == 0) {
        if (random() % 2 == 0) {
            nodes.clear();
        }
        return {"silence-open",
            "connections-of-store",
            [=, this] { setStoreProxies(nodes, FaultProxy::Mode::SilenceOpen); },
            [this] { setStoreProxies({}, FaultProxy::Mode::Pass); }};
    }
    static const std::vector<unsigned> statuses = {503, 429, 0};
    const auto status = statuses[random() % statuses.size()];
    return {fmt::format("reject-{}-of-{}", status, nodes.size()),
        "rejections-of-store",
        [=, this] { rejectAtStore(nodes, status); },
        [this] { rejectAtStore({}, 0); }};
}

// An empty list means all nodes.
void Soak::setStoreProxies(const std::vector<std::size_t> &nodes, FaultProxy::Mode mode, Milliseconds delay)
{
    for (std::size_t node = 0; node < m_nodes; ++node) {
        if (nodes.empty() || std::find(nodes.begin(), nodes.end(), node) != nodes.end()) {
            m_storeProxies[node]->setMode(mode, delay);
        }
    }
}

void Soak::rejectAtStore(const std::vector<std::size_t> &nodes, unsigned status) const
{
    auto hosts = nlohmann::json::array();
    for (const auto node : nodes) {
        hosts.push_back(toString(m_fleet.storeForNode(node)));
    }
    sendToStore("/admin/reject", {{"hosts", hosts}, {"status", status}});
}

void Soak::changeInSeries(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    while (Clock::now() - m_begin < m_length) {
        const auto changes = 1 + random() % MaxSeriesChanges;
        for (std::size_t i = 0; i < changes; ++i) {
            changeConfiguration();
            std::this_thread::sleep_for(Milliseconds(random() % MaxChangePauseMs));
        }
        std::this_thread::sleep_for(Milliseconds(random() % MaxSeriesPauseMs));
    }
}

void Soak::impairStoreInSeries(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    while (Clock::now() - m_begin < m_length) {
        const auto fault = storeDisruption(partialStoreFault(random), false);
        recordFault(fault.kind + " " + fault.subject);
        fault.begin();
        const auto until = std::min<TimePoint>(Clock::now() + ImpairedTime + Milliseconds(random() % MaxSeriesPauseMs), m_begin + m_length);
        std::this_thread::sleep_until(until);
        fault.end();
        std::this_thread::sleep_for(Milliseconds(random() % MaxChangePauseMs));
    }
}

// The revision that the node must serve at least, or zero if none is certain.
int Soak::requiredRevision(std::size_t node, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    auto limit = m_busyCores ? ImpairedApplyTime : ApplyTime;
    for (const auto &disruption : m_storeDisruptions) {
        if (disruption.end < now - ImpairedApplyTime - SettleTime) {
            continue;
        }
        if (disruption.ofAllNodes) {
            return 0;
        }
        limit = ImpairedApplyTime;
    }
    const auto disrupted = [&](const NodeDisruption &disruption) { return disruption.node == node && disruption.end >= now - limit - SettleTime; };
    if (std::any_of(m_disruptions.begin(), m_disruptions.end(), disrupted)) {
        return 0;
    }
    int required = 0;
    for (const auto &[revision, acknowledged] : m_acknowledged) {
        required = acknowledged <= now - limit ? std::max(required, revision) : required;
    }
    return required;
}

// Whether the node serves that revision or a later one. A node that doesn't respond may do so.
bool Soak::servesAtLeast(std::size_t node, int revision) const
{
    int last = 0;
    {
        const std::lock_guard lock(m_mutex);
        last = m_revision;
    }
    for (; revision <= last; ++revision) {
        if (statusOf(node, fmt::format("/r{}/1", revision)) != 404) {
            return true;
        }
    }
    return false;
}

void Soak::checkForce()
{
    while (Clock::now() - m_begin < m_length) {
        std::this_thread::sleep_for(CheckInterval);
        for (std::size_t node = 0; node < m_nodes; ++node) {
            const auto sent = Clock::now();
            const auto required = requiredRevision(node, sent);
            ++m_forceChecks;
            bool serves = required == 0 || servesAtLeast(node, required);
            // The node may have taken another revision between two requests.
            for (int i = 0; !serves && i < Confirmations; ++i) {
                std::this_thread::sleep_for(ConfirmInterval);
                serves = servesAtLeast(node, required) || requiredRevision(node, sent) == 0;
            }
            if (!serves) {
                const auto time = std::chrono::duration_cast<Milliseconds>(sent - m_begin).count();
                const std::lock_guard lock(m_mutex);
                addViolation("in-force", fmt::format("node {} does not serve revision {} at {} ms", node, required, time));
            }
        }
    }
}

}
