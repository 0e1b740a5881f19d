#include "core/calls/callslack.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Number of calls over which the service time is averaged. A node of a fleet of eighty sees about
// five calls of a route per second, so the average covers some seconds. With fewer calls, chance
// moves the average across the ratios between which the wait changes.
constexpr std::uint32_t AveragedCalls = 32;

// Number of calls from which the average is used.
constexpr std::uint32_t MinSamples = 8;

// While the service time of a route is unknown, it is taken to be this part of the objective, as sidecars
// do.
constexpr int AssumedTimeDivisor = 3;

// Maximum number of routes whose service time is kept; a configuration may have many more.
constexpr std::size_t MaxRoutes = 256;

}

CallSlack::CallSlack(Options options)
    : m_options(options)
{
}

void CallSlack::recordAnswered(const RouteName &route, std::chrono::microseconds serviceTime)
{
    if (m_averages.size() >= MaxRoutes && m_averages.count(route) == 0) {
        m_averages.clear();
    }
    auto &average = m_averages[route];
    average.samples = std::min(average.samples + 1, AveragedCalls);
    average.microseconds += (static_cast<double>(serviceTime.count()) - average.microseconds) / average.samples;
}

Milliseconds CallSlack::expectedTime(const RouteName &route, Milliseconds objective) const
{
    const auto known = waitBound(route, objective).serviceTime;
    const auto serviceTime = known.count() == 0 ? objective / AssumedTimeDivisor : known;
    return std::chrono::duration_cast<Milliseconds>(serviceTime * m_options.serviceTimeMargin);
}

bool CallSlack::canMeetObjective(const RouteName &route, Milliseconds objective, Milliseconds waited) const
{
    return waited + expectedTime(route, objective) < objective;
}

CallSlack::WaitBound CallSlack::waitBound(const RouteName &route, Milliseconds objective) const
{
    const auto total = static_cast<double>(objective.count());
    const auto shortWait = total * m_options.minShare;
    const auto found = m_averages.find(route);
    if (found == m_averages.end() || found->second.samples < MinSamples) {
        return {Milliseconds(static_cast<std::int64_t>(shortWait)), Milliseconds(0)};
    }
    const auto serviceTime = std::max(found->second.microseconds / 1000, 1.0);
    const auto longWait = std::max(shortWait, (total - serviceTime * m_options.serviceTimeMargin) * m_options.slackShare);
    const auto position = (total / serviceTime - m_options.shortWaitRatio) / (m_options.longWaitRatio - m_options.shortWaitRatio);
    const auto wait = shortWait + (longWait - shortWait) * std::clamp(position, 0.0, 1.0);
    return {Milliseconds(static_cast<std::int64_t>(wait)), Milliseconds(static_cast<std::int64_t>(serviceTime))};
}

}
