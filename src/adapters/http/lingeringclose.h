#pragma once

#include "common/identifiers.h"

#include <cstddef>

namespace Galenahill {

// Decides how long a server that has half-closed a connection goes on reading before it closes the socket
// (RFC 9112, section 9.6). Closing while the peer's bytes are unread, or may still arrive, resets the
// connection, and the peer loses what it has not received.
class LingeringClose
{
public:
    struct Options
    {
        // Time without a further acknowledgement after which the peer counts as lost.
        Milliseconds acknowledgementTimeout{10000};
        Milliseconds acknowledgementCheckInterval{50};
        // Time, and bytes of the peer to discard, for which its close is awaited once it has acknowledged everything.
        Milliseconds closeTimeout{1000};
        std::size_t discardLimit = 256 * 1024;
    };

    LingeringClose(const Options &options, TimePoint now);

    // Whether the socket may be closed now. Takes the bytes that the peer's kernel has not acknowledged yet, and those of
    // the peer that were discarded since the half-close.
    bool isOver(TimePoint now, std::size_t unacknowledged, std::size_t discarded);

    // Time until the next check. The kernel signals further bytes and the close of the peer, but no
    // acknowledgement; once everything is acknowledged, nothing else is awaited.
    Milliseconds checkAfter(TimePoint now) const;

private:
    Options m_options;
    std::size_t m_unacknowledged;
    TimePoint m_lastProgress;
};

}
