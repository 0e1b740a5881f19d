#include "core/calls/linkshare.h"

#include <algorithm>

namespace Galenahill {

LinkShare::LinkShare(Options options)
    : m_options(options)
    , m_value(options.least)
{
}

void LinkShare::update(std::uint64_t sent, std::uint64_t large, TimePoint now)
{
    if (!m_samples.empty() && now - m_samples.back().at < m_options.interval) {
        return;
    }
    // Bytes of large responses are counted when they are granted, and sent a little later.
    const auto other = sent > large ? sent - large : 0;
    m_samples.push_back({now, m_samples.empty() ? other : std::max(other, m_samples.back().otherBytes)});
    while (m_samples.size() > 2 && now - m_samples[1].at >= m_options.window) {
        m_samples.pop_front();
    }
    const auto &first = m_samples.front();
    if (now - first.at < m_options.window) {
        return;
    }
    const auto bytes = static_cast<double>(m_samples.back().otherBytes - first.otherBytes);
    const auto rate = bytes / std::chrono::duration<double>(now - first.at).count();
    const auto used = m_options.headroom * rate / static_cast<double>(m_options.bytesPerSecond);
    m_value = std::clamp(m_options.payload - used, m_options.least, m_options.payload);
}

double LinkShare::value() const
{
    return m_value;
}

}
