#include "core/fleet/revisionpuller.h"

#include <algorithm>

namespace Galenahill {

RevisionPuller::RevisionPuller(Options options)
    : m_options(std::move(options))
{
}

void RevisionPuller::revisionAdvertised(const Endpoint &peer, Revision revision, TimePoint now)
{
    if (revision <= m_options.revision()) {
        return;
    }
    if (m_sources.size() < m_options.maxSources || m_sources.contains(peer)) {
        m_sources[peer] = revision;
    }
    m_behindSince = std::min(m_behindSince, now);
    if (m_running.empty()) {
        start(now);
    }
}

bool RevisionPuller::withinWatchGracePeriod(TimePoint now) const
{
    return m_options.watchGracePeriod && m_behindSince != TimePoint::max() && now - m_behindSince < m_options.watchGracePeriod();
}

// A member whose pull ends is no longer a source until it advertises a newer revision again. The
// other sources are kept: otherwise a member that dies after advertising would delay this node
// until some later datagram happens to show the revision.
void RevisionPuller::pullEnded(const Endpoint &peer, TimePoint now)
{
    m_running.erase(peer);
    m_sources.erase(peer);
    if (m_running.empty()) {
        start(now);
    }
}

// A paused member accepts the connection and never answers; waiting for the request timeout would
// delay this node by seconds.
void RevisionPuller::tick(TimePoint now)
{
    const bool slow = !m_running.empty() && now - m_lastStart >= m_options.hedgeDelay;
    const bool gracePeriodOver = m_running.empty() && !m_sources.empty();
    if (gracePeriodOver || (slow && m_running.size() < m_options.maxRunning)) {
        start(now);
    }
}

void RevisionPuller::start(TimePoint now)
{
    const auto held = m_options.revision();
    std::erase_if(m_sources, [&](const auto &source) { return source.second <= held; });
    if (m_sources.empty()) {
        m_behindSince = TimePoint::max();
    }
    if (withinWatchGracePeriod(now)) {
        return;
    }
    const Endpoint *best = nullptr;
    Revision highest;
    for (const auto &[peer, revision] : m_sources) {
        if (!m_running.contains(peer) && revision > highest) {
            best = &peer;
            highest = revision;
        }
    }
    if (best == nullptr) {
        return;
    }
    const auto peer = *best;
    m_running[peer] = now;
    m_lastStart = now;
    m_options.pull(peer);
}

}
