#include "soak_p.h"

#include "adapters/http/blockinghttpclient.h"

#include <csignal>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace Galenahill {

namespace {

constexpr int FaultsPerSecond = 2;

// Upper bound of the random part of a fault's duration. Faults can overlap.
constexpr int MaxRandomFaultMs = 2500;

// A target's statements last longer than the time that nodes have to settle and the window in which
// arrivals are counted.
constexpr Milliseconds StatementLength{8000};

// Users expect a planned stop to end within its grace period. The test waits longer, since the machine
// may be busy, and only checks that it happens at all.
constexpr Milliseconds StopLimit{9000};

}

void Soak::setStoreMode(const std::string &mode) const
{
    sendToStore(mode == "compact" ? "/admin/compact" : "/admin/fault", {{"mode", mode}, {"delay_ms", 600}});
}

void Soak::sendToStore(const std::string &path, const nlohmann::json &body) const
{
    HttpRequest request(http::verb::post, path, 11);
    request.set(http::field::host, "store");
    request.body() = body.dump();
    (void)blockingExchange(m_fleet.store(), std::move(request), Milliseconds(500));
}

void Soak::recordDisruption(std::size_t node)
{
    const std::lock_guard lock(m_mutex);
    m_disruptions.push_back({.node = node, .begin = Clock::now(), .end = TimePoint::max()});
}

void Soak::endDisruption(std::size_t node)
{
    const std::lock_guard lock(m_mutex);
    for (auto &disruption : m_disruptions) {
        if (disruption.node == node && disruption.end == TimePoint::max()) {
            disruption.end = Clock::now();
        }
    }
}

// A process that has just been started, and has taken no call yet, is ended by the signal itself.
void Soak::waitUntilResponding(std::size_t node) const
{
    const auto until = Clock::now() + StopLimit;
    while (statusOf(node, "/") == 0 && Clock::now() < until) {
        std::this_thread::sleep_for(Milliseconds(20));
    }
}

// Performs a planned stop: the process must exit by itself with code 0 within the limit, without
// interrupting calls.
void Soak::stopNode(std::size_t node)
{
    waitUntilResponding(node);
    auto &process = m_fleet.nodeProcess(node);
    recordDisruption(node);
    recordPlannedWork(PlannedWork::Kind::Stop, node);
    process.signal(SIGTERM);
    const auto until = Clock::now() + StopLimit;
    while (process.running() && Clock::now() < until) {
        std::this_thread::sleep_for(Milliseconds(20));
    }
    endStop(node);
}

// Starts a node again that has ended, or hasn't by the end of its time.
void Soak::endStop(std::size_t node)
{
    auto &process = m_fleet.nodeProcess(node);
    if (process.running()) {
        addViolation("graceful-stop", fmt::format("node {} still runs {} ms after SIGTERM; killing it", node, StopLimit.count()));
        process.signal(SIGKILL);
    }
    if (process.wait() != 0) {
        addViolation("graceful-stop", fmt::format("node {} ended with exit code {} instead of 0 (-1: killed by a signal)", node, process.wait()));
    }
    m_fleet.startNode(node);
    endDisruption(node);
}

Soak::Fault Soak::nodeFault(std::size_t node)
{
    const auto name = fmt::format("node-{}", node);
    switch (m_random() % 3) {
    case 0:
        return {"kill",
            name,
            [=, this] {
                recordDisruption(node);
                m_fleet.nodeProcess(node).signal(SIGKILL);
            },
            [=, this] {
                m_fleet.nodeProcess(node).wait();
                m_fleet.startNode(node);
                endDisruption(node);
            }};
    case 1:
        return {"pause",
            name,
            [=, this] {
                recordDisruption(node);
                m_fleet.nodeProcess(node).signal(SIGSTOP);
            },
            [=, this] {
                m_fleet.nodeProcess(node).signal(SIGCONT);
                endDisruption(node);
            }};
    default:
        return {"stop", name, [] {}, [=, this] { stopNode(node); }, Milliseconds(100), false};
    }
}

void Soak::restartTarget(std::size_t node)
{
    m_fleet.targetProcess(node).signal(SIGKILL);
    m_fleet.targetProcess(node).wait();
    m_fleet.startTarget(node);
}

// A rate limit that is lifted at the end, or a leaving that ends with a successor. It excludes other
// faults of the target and of its connections: these hold calls back that were sent in time.
Soak::Fault Soak::targetStatement(std::size_t node)
{
    const auto subject = fmt::format("target-{}", node);
    if (m_random() % 3 == 0) {
        return {
            "state-leaving", subject, [=, this] { m_fleet.instructTarget(node, R"({"leaving": true})"); }, [=, this] { restartTarget(node); }, StatementLength};
    }
    static const std::vector<std::string> limits = {"0.5", "2", "3.5", "5", "6.5"};
    const auto instruction = fmt::format(R"({{"rate_limit": "{}"}})", limits[m_random() % limits.size()]);
    return {"state-limit",
        subject,
        [=, this] { m_fleet.instructTarget(node, instruction); },
        [=, this] { m_fleet.instructTarget(node, R"({"rate_limit": ""})"); },
        StatementLength,
        false};
}

Soak::Fault Soak::targetFault(std::size_t node)
{
    const auto name = fmt::format("target-{}", node);
    switch (m_random() % 3) {
    case 0:
        return {"kill", name, [=, this] { m_fleet.targetProcess(node).signal(SIGKILL); }, [=, this] { restartTarget(node); }};
    case 1:
        return {"pause", name, [=, this] { m_fleet.targetProcess(node).signal(SIGSTOP); }, [=, this] { m_fleet.targetProcess(node).signal(SIGCONT); }};
    default:
        return connectionFault(name, *m_targetProxies[node]);
    }
}

Soak::Fault Soak::connectionFault(const std::string &name, FaultProxy &proxy)
{
    using Mode = FaultProxy::Mode;
    static const std::vector<std::pair<const char *, Mode>> modes = {{"delay", Mode::Delay},
        {"reset", Mode::Reset},
        {"cut-answers", Mode::HoldResponses},
        {"cut-requests", Mode::HoldRequests},
        {"silence", Mode::HoldBoth}};
    const auto &chosen = modes[m_random() % modes.size()];
    const auto mode = chosen.second;
    const Milliseconds delay(20 + m_random() % 300);
    return {chosen.first, name, [&proxy, mode, delay] { proxy.setMode(mode, delay); }, [&proxy] { proxy.setMode(Mode::Pass); }};
}

Soak::Fault Soak::storeFault()
{
    using Mode = FaultProxy::Mode;
    static const std::vector<std::string> modes = {"down", "slow", "lose-answers", "stall-watches", "compact"};
    static const std::vector<std::pair<const char *, Mode>> connectionModes = {{"delay-connections", Mode::Delay},
        {"reset-connections", Mode::Reset},
        {"cut-answers", Mode::HoldResponses},
        {"cut-requests", Mode::HoldRequests},
        {"silence", Mode::HoldBoth}};
    switch (m_random() % 3) {
    case 0: {
        const auto [name, mode] = connectionModes[m_random() % connectionModes.size()];
        const Milliseconds delay(20 + m_random() % 300);
        return {name, "connections-of-store", [=, mode = mode, this] { setStoreProxies({}, mode, delay); }, [this] { setStoreProxies({}, Mode::Pass); }};
    }
    case 1:
        return {"pause", "store", [this] { m_fleet.storeProcess().signal(SIGSTOP); }, [this] { m_fleet.storeProcess().signal(SIGCONT); }};
    default: {
        const auto &mode = modes[m_random() % modes.size()];
        return {mode, "store", [mode, this] { setStoreMode(mode); }, [this] { setStoreMode("none"); }};
    }
    }
}

Soak::Fault Soak::drawFault()
{
    const auto node = m_random() % m_nodes;
    switch (m_random() % 5) {
    case 0:
        return m_storeServesSome ? targetFault(node) : nodeFault(node);
    case 1:
        return targetFault(node);
    case 2:
        return m_storeServesSome ? targetFault(node) : storeDisruption(storeFault(), true);
    case 3:
        return targetStatement(node);
    default:
        return {"write", "configuration", [this] { changeConfiguration(); }, [] {}, Milliseconds(100), false};
    }
}

void Soak::injectFaults()
{
    struct Running
    {
        TimePoint began;
        TimePoint ends;
        bool unplanned = true;
        std::string subject;
        std::function<void()> end;
    };
    std::vector<Running> running;
    const auto endDue = [&](TimePoint now) {
        for (auto fault = running.begin(); fault != running.end();) {
            if (fault->ends > now) {
                ++fault;
                continue;
            }
            fault->end();
            release(fault->subject);
            if (fault->unplanned) {
                recordUnplanned(fault->began, Clock::now());
            }
            fault = running.erase(fault);
        }
    };
    while (Clock::now() - m_begin < m_length) {
        std::this_thread::sleep_for(Milliseconds(m_random() % (2000 / FaultsPerSecond)));
        endDue(Clock::now());
        auto fault = drawFault();
        if (!claim(fault.subject)) {
            continue;
        }
        recordFault(fault.kind + " " + fault.subject);
        const auto began = Clock::now();
        fault.begin();
        running.push_back({began, Clock::now() + fault.minLength + Milliseconds(m_random() % MaxRandomFaultMs), fault.unplanned, fault.subject, fault.end});
    }
    endDue(TimePoint::max());
}

}
