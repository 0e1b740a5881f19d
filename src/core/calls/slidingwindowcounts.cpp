#include "core/calls/slidingwindowcounts.h"

#include <algorithm>

namespace Galenahill {

namespace {

std::int64_t stepOf(TimePoint time)
{
    return time.time_since_epoch() / SlidingWindowCounts::Step;
}

}

CallCounts &CallCounts::operator+=(const CallCounts &other)
{
    calls += other.calls;
    failed += other.failed;
    slow += other.slow;
    return *this;
}

void SlidingWindowCounts::add(TimePoint now, const CallCounts &counts)
{
    const auto step = stepOf(now);
    while (!m_buckets.empty() && m_buckets.front().step <= step - static_cast<std::int64_t>(Steps)) {
        m_buckets.pop_front();
    }
    if (m_buckets.empty() || m_buckets.back().step < step) {
        m_buckets.push_back({step, {}});
    }
    m_buckets.back().counts += counts;
}

CallCounts SlidingWindowCounts::sum(TimePoint now, Milliseconds window) const
{
    const auto last = stepOf(now);
    const auto steps = std::clamp<std::int64_t>(window / Step, 1, static_cast<std::int64_t>(Steps));
    CallCounts total;
    for (const auto &bucket : m_buckets) {
        if (bucket.step > last - steps && bucket.step <= last) {
            total += bucket.counts;
        }
    }
    return total;
}

}
