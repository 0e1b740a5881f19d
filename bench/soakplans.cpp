#include "soak_p.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <numeric>
#include <thread>

namespace Galenahill {

namespace {

// Shorter than a stop takes, so that both nodes of a call are often in their stop at once, or get their signals
// nearly at once.
constexpr Milliseconds StopSteps[] = {Milliseconds(30), Milliseconds(100), Milliseconds(250)};

constexpr Milliseconds PollInterval{20};
constexpr Milliseconds StopLimit{9000};

// Upper bound of the random pause between two actions of a series.
constexpr int MaxPauseMs = 700;

constexpr int MaxReloadStepMs = 300;

}

void Soak::recordPlannedWork(PlannedWork::Kind kind, std::size_t node)
{
    const std::lock_guard lock(m_mutex);
    m_plannedWork.push_back({.kind = kind, .node = node, .begin = Clock::now(), .end = TimePoint()});
}

void Soak::recordUnplanned(TimePoint begin, TimePoint end)
{
    const std::lock_guard lock(m_mutex);
    m_unplanned.push_back({begin, end});
}

void Soak::recordFault(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_injectedFaults.push_back(fmt::format("{}@{}", text, std::chrono::duration_cast<Milliseconds>(Clock::now() - m_begin).count()));
}

bool Soak::claim(const std::string &subject)
{
    const std::lock_guard lock(m_mutex);
    return m_faultySubjects.insert(subject).second;
}

void Soak::release(const std::string &subject)
{
    const std::lock_guard lock(m_mutex);
    m_faultySubjects.erase(subject);
}

// The store may reject the document during a fault of its own; checkRecovery writes the last one again.
void Soak::changeConfiguration()
{
    const std::lock_guard order(m_configurationMutex);
    PlannedWork work{.kind = PlannedWork::Kind::Configuration, .begin = Clock::now()};
    int revision = 0;
    {
        const std::lock_guard lock(m_mutex);
        revision = ++m_revision;
    }
    const bool acknowledged = m_fleet.configure(document(revision)).has_value();
    work.end = Clock::now();
    const std::lock_guard lock(m_mutex);
    if (acknowledged) {
        m_acknowledged.emplace_back(revision, work.end);
    }
    m_plannedWork.push_back(work);
}

// The nodes of one data centre or of the whole fleet.
std::vector<std::size_t> Soak::chooseNodes(std::mt19937_64 &random) const
{
    std::vector<std::size_t> nodes(m_nodes);
    std::iota(nodes.begin(), nodes.end(), std::size_t(0));
    if (random() % 3 != 0) {
        const auto dataCentre = random() % DataCentres;
        std::erase_if(nodes, [&](auto node) { return node % DataCentres != dataCentre; });
    }
    std::shuffle(nodes.begin(), nodes.end(), random);
    return nodes;
}

void Soak::slowTargetsDown(const std::vector<std::size_t> &nodes, std::mt19937_64 &random)
{
    const auto instruction = fmt::format(R"({{"slow_factor": {}, "slow_ms": {}}})", 6 + random() % 15, 1000 + random() % 1500);
    std::string slow;
    for (const auto node : nodes) {
        // The others stay free, so that there is somewhere to retry.
        if (random() % 3 == 0) {
            m_fleet.instructTarget(node, instruction);
            slow += fmt::format(" target-{}", node);
        }
    }
    recordFault("slow" + slow);
}

// The caller has claimed the node. One that has just been started would be ended by the signal.
void Soak::reload(std::size_t node)
{
    if (m_fleet.nodeProcess(node).running() && statusOf(node, "/") != 0) {
        recordPlannedWork(PlannedWork::Kind::Reload, node);
        recordFault(fmt::format("reload node-{}", node));
        m_fleet.nodeProcess(node).signal(SIGHUP);
    }
}

bool Soak::claimForStop(std::size_t node)
{
    const auto subject = fmt::format("node-{}", node);
    if (!claim(subject)) {
        return false;
    }
    if (statusOf(node, "/") == 0) {
        release(subject);
        return false;
    }
    return true;
}

void Soak::sendStopSignal(std::size_t node, std::vector<Stopping> &stopping)
{
    recordDisruption(node);
    recordPlannedWork(PlannedWork::Kind::Stop, node);
    recordFault(fmt::format("stop node-{}", node));
    m_fleet.nodeProcess(node).signal(SIGTERM);
    stopping.push_back({node, Clock::now() + StopLimit});
}

bool Soak::beginStop(std::size_t node, std::vector<Stopping> &stopping)
{
    if (!claimForStop(node)) {
        return false;
    }
    sendStopSignal(node, stopping);
    return true;
}

void Soak::restartStopped(std::vector<Stopping> &stopping)
{
    std::erase_if(stopping, [this](const auto &entry) {
        if (m_fleet.nodeProcess(entry.node).running() && Clock::now() < entry.until) {
            return false;
        }
        endStop(entry.node);
        release(fmt::format("node-{}", entry.node));
        return true;
    });
}

void Soak::endStops(std::vector<Stopping> &stopping)
{
    while (!stopping.empty()) {
        restartStopped(stopping);
        std::this_thread::sleep_for(PollInterval);
    }
}

// Stops nodes one after the other without waiting for the end of a stop, with slow targets, reloads
// and changes of the configuration in between.
void Soak::stopInSeries(std::mt19937_64 &random)
{
    const auto nodes = chooseNodes(random);
    std::vector<std::size_t> all(m_nodes);
    std::iota(all.begin(), all.end(), std::size_t(0));
    if (random() % 2 == 0) {
        slowTargetsDown(all, random);
        std::this_thread::sleep_for(Milliseconds(random() % MaxPauseMs));
    }
    const auto step = StopSteps[random() % std::size(StopSteps)];
    std::vector<Stopping> stopping;
    for (const auto node : nodes) {
        const auto next = Clock::now() + step;
        if (random() % 4 == 0) {
            slowTargetsDown(all, random);
        }
        beginStop(node, stopping);
        switch (random() % 6) {
        case 0:
            if (!stopping.empty()) {
                reload(stopping[random() % stopping.size()].node);
            }
            break;
        case 1:
            changeConfiguration();
            break;
        default:
            break;
        }
        restartStopped(stopping);
        std::this_thread::sleep_until(next);
    }
    endStops(stopping);
}

void Soak::runSeries(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    while (Clock::now() - m_begin < m_length) {
        switch (random() % 6) {
        case 0:
            for (const auto node : chooseNodes(random)) {
                const auto subject = fmt::format("node-{}", node);
                if (claim(subject)) {
                    reload(node);
                    release(subject);
                }
                std::this_thread::sleep_for(Milliseconds(random() % MaxReloadStepMs));
            }
            break;
        case 1:
            recordFault("write configuration");
            changeConfiguration();
            break;
        case 2:
        case 3:
            stopWhileAnswering(random);
            break;
        default:
            stopInSeries(random);
        }
        std::this_thread::sleep_for(Milliseconds(random() % MaxPauseMs));
    }
}

}
