#include "adapters/http/lingeringclose.h"

#include <algorithm>
#include <limits>

namespace Galenahill {

LingeringClose::LingeringClose(const Options &options, TimePoint now)
    : m_options(options)
    , m_unacknowledged(std::numeric_limits<std::size_t>::max())
    , m_lastProgress(now)
{
}

bool LingeringClose::isOver(TimePoint now, std::size_t unacknowledged, std::size_t discarded)
{
    if (unacknowledged < m_unacknowledged) {
        m_unacknowledged = unacknowledged;
        m_lastProgress = now;
    }
    const auto time = now - m_lastProgress;
    if (m_unacknowledged > 0) {
        return time >= m_options.acknowledgementTimeout;
    }
    return time >= m_options.closeTimeout || discarded >= m_options.discardLimit;
}

Milliseconds LingeringClose::checkAfter(TimePoint now) const
{
    if (m_unacknowledged > 0) {
        return m_options.acknowledgementCheckInterval;
    }
    const auto left = std::chrono::ceil<Milliseconds>(m_lastProgress + m_options.closeTimeout - now);
    return std::max(left, Milliseconds(0));
}

}
