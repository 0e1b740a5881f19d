#pragma once

#include "common/endpoint.h"

#include <cstddef>
#include <string>

namespace Galenahill {

// How a connection of a server ended, as far as its own kernel knows.
struct ConnectionEnd
{
    enum class Closer {
        // The peer closed or reset the connection, or half-closed it.
        Peer,
        // The server ended it.
        Server,
    };

    // The peer's IP address and port.
    Endpoint peer;
    Closer closer = Closer::Server;
    // Requests whose header was read, and those whose complete response was handed to the kernel.
    std::size_t requestsRead = 0;
    std::size_t requestsAnswered = 0;
    // Id of the last of the latter that its handler gave one; empty if there is none.
    std::string lastAnsweredId;
    // Bytes that the peer's kernel has not acknowledged. They reach the peer only if nothing resets the connection.
    std::size_t unacknowledgedBytes = 0;
    // Bytes of the peer that nothing has read. The kernel resets a connection that is closed with such bytes.
    std::size_t unreadBytes = 0;
    // Bytes of the peer that were discarded after the server had half-closed the connection, such as further requests.
    std::size_t discardedBytes = 0;
    // Whether the last response said Connection: close, so that the peer knows that further requests have no effect.
    bool closeAnnounced = false;
    // Whether the connection is still open, and is ended by the end of the process.
    bool leftOpen = false;

    // Whether every response was acknowledged, and no request was left without one unannounced.
    bool isClean() const
    {
        const bool noneDiscarded = discardedBytes == 0 || closeAnnounced;
        return unacknowledgedBytes == 0 && unreadBytes == 0 && noneDiscarded && requestsAnswered == requestsRead;
    }
};

}
