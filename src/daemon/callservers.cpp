#include "daemon/callservers.h"

namespace Galenahill {

CallServers::CallServers(HttpServer &ingressServer, HttpServer &sidecarServer, Ingress &ingress, ConnectionLog &log)
    : m_ingressServer(ingressServer)
    , m_sidecarServer(sidecarServer)
    , m_ingress(ingress)
    , m_log(log)
{
}

std::size_t CallServers::unansweredRequests() const
{
    return m_ingressServer.unansweredRequests() + m_sidecarServer.unansweredRequests();
}

std::size_t CallServers::closeIdle()
{
    return m_ingressServer.closeIdle() + m_sidecarServer.closeIdle();
}

std::size_t CallServers::endCalls()
{
    m_ingressServer.expireArriving();
    return m_ingress.endCalls();
}

std::size_t CallServers::logOpenConnections()
{
    m_log.leftOpen("ingress", m_ingressServer.openConnections());
    m_log.leftOpen("sidecar", m_sidecarServer.openConnections());
    return m_ingressServer.connections() + m_sidecarServer.connections();
}

}
