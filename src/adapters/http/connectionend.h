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
    // Bytes of the peer that were discarded after the last response, such as further requests. The peer was informed by
    // Connection: close, or by the end of an idle connection, that they have no effect.
    std::size_t discardedBytes = 0;
    // Whether the connection is still open, and is ended by the end of the process.
    bool leftOpen = false;

    // Whether every response was acknowledged and nothing was left unread.
    bool isClean() const
    {
        return unacknowledgedBytes == 0 && unreadBytes == 0 && requestsAnswered == requestsRead;
    }
};

}
