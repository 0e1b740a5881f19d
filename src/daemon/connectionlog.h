#pragma once

#include "adapters/http/connectionend.h"
#include "ports/logger.h"

#include <cstddef>
#include <vector>

namespace Galenahill {

// Logs how the connections of a node's servers ended. Used on one thread.
class ConnectionLog
{
public:
    explicit ConnectionLog(Logger log);

    // Logs every connection's end from now on. Until then, only those that this node ended with something missing.
    void logAll();

    void ended(const char *server, const ConnectionEnd &end);

    // Logs the connections that the end of the process ends: a summary, and each one with something missing.
    void leftOpen(const char *server, const std::vector<ConnectionEnd> &ends);

    // Connections that this node ended while the peer's kernel had not acknowledged a response.
    std::size_t endedUnacknowledged() const;

    // Connections that this node ended while bytes of the peer were unread.
    std::size_t endedUnread() const;

private:
    void logEnd(LogLevel level, const char *server, const ConnectionEnd &end) const;

    Logger m_log;
    bool m_logsAll = false;
    std::size_t m_endedUnacknowledged = 0;
    std::size_t m_endedUnread = 0;
};

}
