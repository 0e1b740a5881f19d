#pragma once

#include "adapters/http/httpserver.h"
#include "daemon/calls/ingress.h"
#include "daemon/connectionlog.h"

namespace Galenahill {

// The two servers of a node that carry calls, and their end in a planned stop. Used on the servers' thread; refers to
// its arguments.
class CallServers
{
public:
    CallServers(HttpServer &ingressServer, HttpServer &sidecarServer, Ingress &ingress, ConnectionLog &log);

    // Requests being received or handled, and those that wait for an earlier response.
    std::size_t unansweredRequests() const;

    // Ends the connections on which no part of a request has arrived. Returns the number of connections that are still
    // open.
    std::size_t closeIdle();

    // Answers the calls that are still running or arriving, for a node whose time to stop is over. Returns the number of
    // running calls that were ended.
    std::size_t endCalls();

    // Logs the connections that the end of the process ends. Returns their number.
    std::size_t logOpenConnections();

private:
    HttpServer &m_ingressServer;
    HttpServer &m_sidecarServer;
    Ingress &m_ingress;
    ConnectionLog &m_log;
};

}
