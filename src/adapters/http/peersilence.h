#pragma once

#include "common/identifiers.h"

#include <optional>

namespace Galenahill {

// What the kernel states about a TCP connection at one moment (TCP_INFO).
struct TcpSnapshot
{
    TimePoint at;
    // Segments sent and not yet acknowledged.
    std::uint32_t unackedSegments = 0;
    // Retransmissions since an acknowledgement of new bytes.
    std::uint32_t retransmissions = 0;
    // Probes of a full receive window, or of an idle connection, since the last acknowledgement.
    std::uint32_t unansweredProbes = 0;
    // When bytes were last sent, retransmissions included.
    TimePoint lastSent;
    // When bytes or an acknowledgement last arrived.
    TimePoint lastReceived;
};

// Reads the snapshot of a socket; empty unless the connection can send and the system
// provides these values.
std::optional<TcpSnapshot> readTcpSnapshot(int socket);

// For how long the peer of a connection has owed an acknowledgement. A peer whose host is reachable
// acknowledges retransmissions and probes also while its process doesn't read.
class PeerSilence
{
public:
    // At most `maxStep` of the time between two snapshots counts: after a longer one, this system may have been
    // paused, and answers that have arrived may not have been processed.
    explicit PeerSilence(Milliseconds maxStep = Milliseconds(200));

    // Adds the next snapshot of the connection.
    void update(const TcpSnapshot &snapshot);

    // Whether the peer counts as lost, as of the last snapshot: nothing has arrived for that time,
    // after a retransmission or after at least two probes.
    bool lastsFor(Milliseconds time) const;

private:
    Milliseconds m_maxStep;
    TcpSnapshot m_snapshot;
    // The first snapshot at which an answer was due, later by the time that doesn't count.
    std::optional<TimePoint> m_since;
    // The first snapshot that shows the last probe.
    TimePoint m_lastProbe;
};

}
