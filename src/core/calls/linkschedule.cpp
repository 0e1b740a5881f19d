#include "core/calls/linkschedule.h"

#include <algorithm>

namespace Galenahill {

LinkSchedule::LinkSchedule(Options options)
    : m_options(options)
{
}

bool LinkSchedule::free() const
{
    return m_options.bytesPerSecond == 0 || m_underWay < m_options.transfers;
}

Clock::duration LinkSchedule::timeFor(std::uint64_t bytes) const
{
    if (m_options.bytesPerSecond == 0) {
        return Clock::duration(0);
    }
    const auto rate = static_cast<double>(m_options.bytesPerSecond) * m_options.share;
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(static_cast<double>(bytes) / rate));
}

TimePoint LinkSchedule::arrival(std::uint64_t bytes, TimePoint now) const
{
    return std::max(now, m_busyUntil) + timeFor(m_waitingBytes + bytes);
}

void LinkSchedule::wait(std::uint64_t bytes)
{
    m_waitingBytes += bytes;
}

void LinkSchedule::waitEnded(std::uint64_t bytes)
{
    m_waitingBytes -= bytes;
}

void LinkSchedule::begin(std::uint64_t bytes, TimePoint now)
{
    ++m_underWay;
    m_busyUntil = std::max(now, m_busyUntil) + timeFor(bytes);
}

// A body that was given up, or came sooner than expected, leaves nothing behind once
// it was the last.
void LinkSchedule::end(TimePoint now)
{
    if (--m_underWay == 0) {
        m_busyUntil = now;
    }
}

}
