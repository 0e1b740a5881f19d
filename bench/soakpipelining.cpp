#include "platform/callheadernames.h"
#include "soak_p.h"
#include "soakcustomers.h"

#include <algorithm>
#include <fmt/format.h>
#include <thread>

namespace Galenahill {

namespace {

constexpr std::uint16_t CallerProxyPort = 8090;

// One way; the delay of a data centre next door, or of a proxy.
constexpr int MaxDelayMs = 5;

// Smaller than most responses, so that part of each waits in the node's kernel.
constexpr int SmallBufferBytes = 4096;
constexpr Milliseconds ReadPause{5};

constexpr Milliseconds MaxPause{150};
constexpr Milliseconds LargeFleetMaxPause{1200};

// Callers of a node that is stopped during a response go on until it has ended the connections that it keeps.
constexpr Milliseconds InterruptedCallerPause{20};
constexpr Milliseconds InterruptedCallerLength{3000};

// Upper bound of the time between the signals to both nodes of a call.
constexpr int MaxSignalGapMs = 100;

}

// Without unplanned faults, the connections between sidecars and targets are those of a slow network.
void Soak::startTargetProxies()
{
    for (std::size_t node = 0; node < m_nodes; ++node) {
        const int receiveBuffer = m_plannedOnly && node % 2 == 0 ? SmallBufferBytes : 0;
        m_targetProxies.push_back(std::make_unique<FaultProxy>(m_fleet.targetForNode(node), m_fleet.target(node), receiveBuffer));
        m_targetProxies.back()->refuseWithServer();
        if (m_plannedOnly) {
            m_targetProxies.back()->setMode(FaultProxy::Mode::Delay, Milliseconds(1 + m_random() % MaxDelayMs));
        }
    }
}

void Soak::startCallerProxies()
{
    for (std::size_t node = 0; node < m_nodes; ++node) {
        const Endpoint listen{m_fleet.ingress(node).address, CallerProxyPort};
        m_callerProxies.push_back(std::make_unique<FaultProxy>(listen, m_fleet.ingress(node), node % 2 == 0 ? SmallBufferBytes : 0));
        m_callerProxies.back()->setMode(FaultProxy::Mode::Delay, Milliseconds(1 + m_random() % MaxDelayMs));
    }
}

PipeliningCallers::Options Soak::pipelineOptions(bool throughProxies) const
{
    PipeliningCallers::Options options;
    for (std::size_t node = 0; node < m_nodes; ++node) {
        const auto ingress = m_fleet.ingress(node);
        options.ingresses.push_back(throughProxies ? Endpoint{ingress.address, CallerProxyPort} : ingress);
    }
    options.connectionsPerIngress = 1;
    options.timeout = CallerTimeout;
    options.seed = m_options.seed * 2 + (throughProxies ? 1 : 0);
    options.headerNames = Platform::callHeaderNames();
    options.host = Host;
    if (throughProxies) {
        options.wasRefused = [this](std::size_t ingress, std::uint16_t port) { return m_callerProxies[ingress]->takeRefusal(port); };
    }
    return options;
}

// Half of the callers reach the ingresses directly, and half through proxies; of these, half read slowly.
std::vector<CallRecord> Soak::callInPipelines(bool throughProxies) const
{
    auto options = pipelineOptions(throughProxies);
    options.kinds = SoakCustomers::callKinds();
    std::erase_if(options.kinds, [](const auto &kind) { return !kind.idempotent || kind.key != SoakCustomers::ValidKey; });
    options.maxPause = m_largeFleet ? LargeFleetMaxPause : MaxPause;
    options.receiveBuffer = throughProxies ? SmallBufferBytes : 0;
    options.readPause = throughProxies ? ReadPause : Milliseconds(0);
    options.length = m_length;
    options.idPrefix = throughProxies ? "far" : "near";
    return PipeliningCallers(options).run();
}

// Sends large requests to a node and stops it once the first bytes of a response have arrived; the rest is read slowly.
// In half of the cases the node beside the call's target gets its signal as well, before or after.
void Soak::stopWhileAnswering(std::mt19937_64 &random)
{
    const auto node = random() % m_nodes;
    if (!claimForStop(node)) {
        return;
    }
    const bool both = random() % 2 == 0;
    const bool nodeFirst = random() % 2 == 0;
    const Milliseconds gap(random() % MaxSignalGapMs);
    auto options = pipelineOptions(random() % 2 == 0);
    options.ingresses = {options.ingresses[node]};
    if (options.wasRefused) {
        options.wasRefused = [this, node](std::size_t, std::uint16_t port) { return m_callerProxies[node]->takeRefusal(port); };
    }
    options.kinds = SoakCustomers::callKinds();
    std::erase_if(options.kinds, [](const auto &kind) { return kind.path != SoakCustomers::LargestPath; });
    options.maxPause = InterruptedCallerPause;
    options.length = InterruptedCallerLength;
    options.receiveBuffer = SmallBufferBytes;
    options.readPause = ReadPause;
    options.idPrefix = fmt::format("busy{}", random() % 1000000);
    std::vector<Stopping> stopping;
    options.responseBegan = [&](const CallRecord &call) {
        if (!stopping.empty()) {
            return;
        }
        const auto other = both ? PlatformFleet::nodeOfTarget(call.target) : std::nullopt;
        if (!other || *other == node || !claimForStop(*other)) {
            sendStopSignal(node, stopping);
            return;
        }
        sendStopSignal(nodeFirst ? node : *other, stopping);
        std::this_thread::sleep_for(gap);
        sendStopSignal(nodeFirst ? *other : node, stopping);
    };
    auto records = PipeliningCallers(options).run();
    const bool interrupted = !stopping.empty();
    if (!interrupted) {
        release(fmt::format("node-{}", node));
    }
    endStops(stopping);
    std::for_each(records.begin(), records.end(), [node](auto &record) { record.ingress = node; });
    const std::lock_guard lock(m_mutex);
    m_interruptions += interrupted ? 1 : 0;
    m_interruptedCalls.insert(m_interruptedCalls.end(), records.begin(), records.end());
}

}
