#include "faultinjector.h"

#include "adapters/http/blockinghttpclient.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace Galenahill {

namespace {

constexpr double LossProbability = 0.3;
constexpr Milliseconds AdminTimeout{1000};

// A planned stop that takes longer is recorded as not clean.
constexpr Milliseconds ExitLimit{8000};

void sendPost(const Endpoint &endpoint, const std::string &path, const std::string &body)
{
    HttpRequest request(http::verb::post, path, 11);
    request.set(http::field::host, toString(endpoint));
    request.body() = body;
    const auto response = blockingExchange(endpoint, std::move(request), AdminTimeout);
    if (!response || response->result() != http::status::ok) {
        fmt::print(stderr, "{}{}: {}\n", toString(endpoint), path, response ? response->body() : response.error().message);
    }
}

bool isNodeKill(const PlannedFault &fault)
{
    return fault.kind != "target-kill" && fault.kind.find("-kill") != std::string::npos;
}

struct ScheduleEvent
{
    Milliseconds at{0};
    bool begins = false;
    std::size_t fault = 0;
};

std::vector<ScheduleEvent> sortedEvents(const std::vector<PlannedFault> &faults)
{
    std::vector<ScheduleEvent> result;
    for (std::size_t i = 0; i < faults.size(); ++i) {
        result.push_back({faults[i].begin, true, i});
        result.push_back({faults[i].end, false, i});
    }
    std::stable_sort(result.begin(), result.end(), [](const ScheduleEvent &left, const ScheduleEvent &right) { return left.at < right.at; });
    return result;
}

}

FaultInjector::FaultInjector(Fleet &fleet)
    : m_fleet(fleet)
{
}

void FaultInjector::backUpStore()
{
    sendToStore("/admin/backup");
}

void FaultInjector::sendToStore(const std::string &path, const std::string &body)
{
    sendPost(m_fleet.platform(), path, body);
}

void FaultInjector::setLinks(std::size_t node, const std::vector<std::size_t> &others, double loss)
{
    auto links = nlohmann::json::object();
    for (const auto other : others) {
        if (other != node && loss > 0) {
            links[m_fleet.control(other).address] = loss;
        }
    }
    sendPost(m_fleet.control(node), "/testing/links", links.dump());
}

void FaultInjector::partition(const std::vector<std::size_t> &inside)
{
    std::vector<std::size_t> outside;
    for (std::size_t node = 0; node < m_fleet.size(); ++node) {
        if (std::find(inside.begin(), inside.end(), node) == inside.end()) {
            outside.push_back(node);
        }
    }
    for (const auto node : inside) {
        setLinks(node, outside, 1);
    }
    for (const auto node : outside) {
        setLinks(node, inside, 1);
    }
}

void FaultInjector::setLossOnAllLinks(double loss)
{
    std::vector<std::size_t> all(m_fleet.size());
    for (std::size_t node = 0; node < all.size(); ++node) {
        all[node] = node;
    }
    for (const auto node : all) {
        setLinks(node, all, loss);
    }
}

bool FaultInjector::exitsCleanly(std::size_t node)
{
    auto *process = m_fleet.nodeProcess(node);
    const auto until = Clock::now() + ExitLimit;
    while (process->running() && Clock::now() < until) {
        std::this_thread::sleep_for(Milliseconds(10));
    }
    return !process->running() && process->wait() == 0;
}

void FaultInjector::beginFault(const PlannedFault &fault)
{
    if (fault.kind == "platform-restore" || fault.kind == "restore-herd-kill") {
        sendToStore("/admin/restore");
    } else if (fault.kind.rfind("platform-", 0) == 0) {
        sendToStore("/admin/fault", nlohmann::json({{"mode", fault.kind.substr(std::string("platform-").size())}, {"delay_ms", 1500}}).dump());
    } else if (fault.kind == "link-cut") {
        partition(fault.nodes);
    } else if (fault.kind == "link-loss") {
        setLossOnAllLinks(LossProbability);
    }
    for (const auto node : fault.nodes) {
        if (isNodeKill(fault)) {
            m_fleet.nodeProcess(node)->signal(SIGKILL);
        } else if (fault.kind == "node-pause" || fault.kind == "herd-pause") {
            m_fleet.nodeProcess(node)->signal(SIGSTOP);
        } else if (fault.kind == NodeStopFault) {
            m_fleet.nodeProcess(node)->signal(SIGTERM);
        } else if (fault.kind == TargetDrainFault) {
            sendPost(m_fleet.target(node), "/admin", R"({"drain": true})");
        } else if (fault.kind == "target-kill") {
            m_fleet.targetProcess(node)->signal(SIGKILL);
        }
    }
}

void FaultInjector::endFault(const PlannedFault &fault, FaultRecord &record)
{
    if (fault.kind == NodeStopFault) {
        record.exitedCleanly = exitsCleanly(fault.nodes.front());
    }
    record.end = Clock::now();
    if (fault.kind.rfind("platform-", 0) == 0) {
        sendToStore("/admin/fault", R"({"mode": "none"})");
    } else if (fault.kind.rfind("link-", 0) == 0) {
        setLossOnAllLinks(0);
    }
    for (const auto node : fault.nodes) {
        if (isNodeKill(fault) || fault.kind == NodeStopFault) {
            m_fleet.startNode(node);
        } else if (fault.kind == "node-pause" || fault.kind == "herd-pause") {
            m_fleet.nodeProcess(node)->signal(SIGCONT);
        } else if (fault.kind == TargetDrainFault || fault.kind == "target-kill") {
            m_fleet.targetProcess(node)->signal(SIGTERM);
            m_fleet.targetProcess(node)->wait();
            m_fleet.startTarget(node);
        }
    }
}

std::vector<FaultRecord> FaultInjector::injectAll(const std::vector<PlannedFault> &faults)
{
    std::vector<FaultRecord> records(faults.size());
    const auto start = Clock::now();
    for (const auto &event : sortedEvents(faults)) {
        std::this_thread::sleep_until(start + event.at);
        const auto &fault = faults[event.fault];
        auto &record = records[event.fault];
        if (event.begins) {
            record = {fault.kind, fault.nodes, Clock::now(), {}};
            beginFault(fault);
            fmt::print(stderr, "{} ms: {} {}\n", event.at.count(), fault.kind, nlohmann::json(fault.nodes).dump());
        } else {
            endFault(fault, record);
        }
    }
    return records;
}

}
