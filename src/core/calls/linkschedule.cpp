#include "core/calls/linkschedule.h"

#include <algorithm>

namespace Galenahill {

LinkSchedule::LinkSchedule(Options options)
    : m_options(options)
{
}

bool LinkSchedule::canBegin() const
{
    return m_options.bytesPerSecond == 0 || m_activeTransfers < m_options.maxTransfers;
}

Clock::duration LinkSchedule::transferTime(std::uint64_t bytes) const
{
    if (m_options.bytesPerSecond == 0) {
        return Clock::duration(0);
    }
    const auto rate = static_cast<double>(m_options.bytesPerSecond) * m_options.bodyFraction;
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(static_cast<double>(bytes) / rate));
}

TimePoint LinkSchedule::expectedArrival(std::uint64_t bytes, TimePoint now) const
{
    return std::max(now, m_busyUntil) + transferTime(m_waitingBytes + bytes);
}

void LinkSchedule::addWaiting(std::uint64_t bytes)
{
    m_waitingBytes += bytes;
}

void LinkSchedule::removeWaiting(std::uint64_t bytes)
{
    m_waitingBytes -= bytes;
}

void LinkSchedule::beginTransfer(std::uint64_t bytes, TimePoint now)
{
    ++m_activeTransfers;
    m_busyUntil = std::max(now, m_busyUntil) + transferTime(bytes);
}

// If the last transfer ends early or is abandoned, its remaining expected time is dropped.
void LinkSchedule::endTransfer(TimePoint now)
{
    if (--m_activeTransfers == 0) {
        m_busyUntil = now;
    }
}

}
