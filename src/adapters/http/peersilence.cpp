#include "adapters/http/peersilence.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Galenahill {

namespace {

// A single probe may be lost on the way to a reachable host.
constexpr std::uint32_t MinUnansweredProbes = 2;

// Time for the answer to the last retransmission or probe to arrive.
constexpr Milliseconds AnswerTime{100};

bool retransmissionUnanswered(const TcpSnapshot &snapshot)
{
    return snapshot.unackedSegments > 0 && snapshot.retransmissions > 0 && snapshot.lastReceived < snapshot.lastSent;
}

}

std::optional<TcpSnapshot> readTcpSnapshot(int socket)
{
    tcp_info info = {};
    socklen_t length = sizeof(info);
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &length) != 0 || length < sizeof(info)) {
        return std::nullopt;
    }
    // A connection that the peer has half-closed may still send. Some systems fill in only the state.
    const bool open = info.tcpi_state == TCP_ESTABLISHED || info.tcpi_state == TCP_CLOSE_WAIT;
    if (!open || info.tcpi_snd_mss == 0) {
        return std::nullopt;
    }
    const auto now = Clock::now();
    return TcpSnapshot{.at = now,
        .unackedSegments = info.tcpi_unacked,
        .retransmissions = info.tcpi_retransmits,
        .unansweredProbes = info.tcpi_probes,
        .lastSent = now - Milliseconds(info.tcpi_last_data_sent),
        .lastReceived = now - Milliseconds(std::min(info.tcpi_last_ack_recv, info.tcpi_last_data_recv))};
}

PeerSilence::PeerSilence(Milliseconds maxStep)
    : m_maxStep(maxStep)
{
}

void PeerSilence::update(const TcpSnapshot &snapshot)
{
    const auto step = snapshot.at - m_snapshot.at;
    if (snapshot.unansweredProbes != m_snapshot.unansweredProbes) {
        m_lastProbe = snapshot.at;
    }
    m_snapshot = snapshot;
    if (!retransmissionUnanswered(snapshot) && snapshot.unansweredProbes == 0) {
        m_since.reset();
    } else if (!m_since || snapshot.lastReceived >= *m_since) {
        m_since = snapshot.at;
    } else if (step > m_maxStep) {
        *m_since += step - m_maxStep;
    }
}

bool PeerSilence::lastsFor(Milliseconds time) const
{
    const bool retransmitted = retransmissionUnanswered(m_snapshot) && m_snapshot.at - m_snapshot.lastSent >= AnswerTime;
    const bool probed = m_snapshot.unansweredProbes >= MinUnansweredProbes && m_snapshot.at - m_lastProbe >= AnswerTime;
    return m_since && (retransmitted || probed) && m_snapshot.at - *m_since >= time;
}

}
