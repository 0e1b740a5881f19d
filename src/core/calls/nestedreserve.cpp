#include "core/calls/nestedreserve.h"

#include <algorithm>
#include <cmath>

namespace Galenahill {

namespace {

// Weight divisor of one call in the average service times. The reserve needs no faster reaction: the
// arrival rate, which varies more, decays by itself.
constexpr double AverageWeight = 32;

// Distance of a nested call's priority from the average of the top-level calls within which it counts
// as equally urgent: half of the distance between two priorities.
constexpr double PriorityTolerance = 0.5;

}

NestedReserve::NestedReserve(Options options)
    : m_options(options)
{
}

double NestedReserve::decay(TimePoint now) const
{
    return std::exp(-std::chrono::duration<double>(now - m_lastStart).count() / m_options.decaySeconds);
}

void NestedReserve::topLevelCallStarted(std::uint32_t priority)
{
    m_topLevelPriority = m_hasTopLevelCalls ? m_topLevelPriority + (priority - m_topLevelPriority) / AverageWeight : priority;
    m_hasTopLevelCalls = true;
}

void NestedReserve::nestedCallStarted(std::uint32_t rootPriority, TimePoint now)
{
    if (m_hasTopLevelCalls && rootPriority > m_topLevelPriority + PriorityTolerance) {
        return;
    }
    m_weight = m_lastStart == TimePoint() ? 1 : m_weight * decay(now) + 1;
    m_lastStart = now;
}

void NestedReserve::callAnswered(bool isNested, std::chrono::microseconds serviceTime)
{
    auto &average = isNested ? m_nestedMicroseconds : m_topLevelMicroseconds;
    const auto time = static_cast<double>(serviceTime.count());
    average = average == 0 ? time : average + (time - average) / AverageWeight;
}

double NestedReserve::nestedLoad(TimePoint now) const
{
    if (m_lastStart == TimePoint()) {
        return 0;
    }
    return m_weight * decay(now) / m_options.decaySeconds * m_nestedMicroseconds / 1e6;
}

std::uint32_t NestedReserve::slots(std::uint32_t limit, TimePoint now) const
{
    if (limit < m_options.minSlots || m_nestedMicroseconds == 0) {
        return 0;
    }
    const auto ratio = m_topLevelMicroseconds / m_nestedMicroseconds;
    const auto share = std::clamp((ratio - m_options.noReserveRatio) / (m_options.fullReserveRatio - m_options.noReserveRatio), 0.0, 1.0);
    const auto load = nestedLoad(now);
    if (load < m_options.minLoad) {
        return 0;
    }
    const auto wanted = (load + m_options.margin * std::sqrt(load)) * share;
    return static_cast<std::uint32_t>(std::min(std::round(wanted), std::floor(limit * m_options.maxShare)));
}

std::chrono::microseconds NestedReserve::topLevelInterval(std::uint32_t limit, TimePoint now) const
{
    const auto reserved = slots(limit, now);
    return std::chrono::microseconds(reserved == 0 ? 0 : static_cast<std::int64_t>(m_topLevelMicroseconds / (limit - reserved)));
}

void NestedReserve::clear()
{
    *this = NestedReserve(m_options);
}

}
