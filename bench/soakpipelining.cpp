#include "pipeliningcallers.h"
#include "platform/callheadernames.h"
#include "soak_p.h"
#include "soakcustomers.h"

#include <algorithm>

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

}

void Soak::startCallerProxies()
{
    for (std::size_t node = 0; node < m_nodes; ++node) {
        const Endpoint listen{m_fleet.ingress(node).address, CallerProxyPort};
        m_callerProxies.push_back(std::make_unique<FaultProxy>(listen, m_fleet.ingress(node), node % 2 == 0 ? SmallBufferBytes : 0));
        m_callerProxies.back()->setMode(FaultProxy::Mode::Delay, Milliseconds(1 + m_random() % MaxDelayMs));
    }
}

// Half of the callers reach the ingresses directly, and half through proxies; of these, half read slowly.
std::vector<CallRecord> Soak::callInPipelines(bool throughProxies) const
{
    PipeliningCallers::Options options;
    for (std::size_t node = 0; node < m_nodes; ++node) {
        const auto ingress = m_fleet.ingress(node);
        options.ingresses.push_back(throughProxies ? Endpoint{ingress.address, CallerProxyPort} : ingress);
    }
    options.kinds = SoakCustomers::callKinds();
    std::erase_if(options.kinds, [](const auto &kind) { return !kind.idempotent || kind.key != SoakCustomers::ValidKey; });
    options.connectionsPerIngress = 1;
    options.maxPause = m_largeFleet ? LargeFleetMaxPause : MaxPause;
    options.receiveBuffer = throughProxies ? SmallBufferBytes : 0;
    options.readPause = throughProxies ? ReadPause : Milliseconds(0);
    options.timeout = CallerTimeout;
    options.length = m_length;
    options.seed = m_options.seed * 2 + (throughProxies ? 1 : 0);
    options.idPrefix = throughProxies ? "far" : "near";
    options.headerNames = Platform::callHeaderNames();
    options.host = Host;
    return PipeliningCallers(options).run();
}

}
