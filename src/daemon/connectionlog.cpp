#include "daemon/connectionlog.h"

namespace Galenahill {

ConnectionLog::ConnectionLog(Logger log)
    : m_log(std::move(log))
{
}

void ConnectionLog::logAll()
{
    m_logsAll = true;
}

void ConnectionLog::ended(const char *server, const ConnectionEnd &end)
{
    const bool byServer = end.closer == ConnectionEnd::Closer::Server;
    m_endedUnacknowledged += byServer && end.unacknowledgedBytes > 0 ? 1 : 0;
    m_endedUnread += byServer && end.unreadBytes > 0 ? 1 : 0;
    const bool lossy = byServer && !end.isClean();
    if (m_logsAll || lossy) {
        logEnd(lossy ? LogLevel::Warning : LogLevel::Info, server, end);
    }
}

void ConnectionLog::leftOpen(const char *server, const std::vector<ConnectionEnd> &ends)
{
    std::size_t unacknowledged = 0;
    std::size_t unread = 0;
    for (const auto &end : ends) {
        unacknowledged += end.unacknowledgedBytes;
        unread += end.unreadBytes;
        if (!end.isClean()) {
            logEnd(LogLevel::Warning, server, end);
        }
    }
    m_log(unacknowledged > 0 || unread > 0 ? LogLevel::Warning : LogLevel::Info,
        "connections-left-open",
        {{"server", server}, {"count", ends.size()}, {"unacknowledged_bytes", unacknowledged}, {"unread_bytes", unread}});
}

void ConnectionLog::logEnd(LogLevel level, const char *server, const ConnectionEnd &end) const
{
    m_log(level,
        "connection-ended",
        {{"server", server},
            {"peer", end.peer.address},
            {"peer_port", end.peer.port},
            {"closed_first_by", end.closer == ConnectionEnd::Closer::Server ? "this node" : "the peer"},
            {"left_open", end.leftOpen},
            {"requests_read", end.requestsRead},
            {"requests_answered", end.requestsAnswered},
            {"last_answered_id", end.lastAnsweredId},
            {"unacknowledged_bytes", end.unacknowledgedBytes},
            {"unread_bytes", end.unreadBytes},
            {"discarded_bytes", end.discardedBytes},
            {"close_announced", end.closeAnnounced}});
}

std::size_t ConnectionLog::endedUnacknowledged() const
{
    return m_endedUnacknowledged;
}

std::size_t ConnectionLog::endedUnread() const
{
    return m_endedUnread;
}

}
