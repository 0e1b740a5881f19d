#include "adapters/http/lingeringclose.h"

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

}
