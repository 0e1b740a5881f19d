#include "core/calls/stopadmission.h"

#include <algorithm>

namespace Galenahill {

namespace {

constexpr std::uint32_t AveragedCalls = 32;

// Number of calls from which the average of a service is used.
constexpr std::uint32_t MinSamples = 8;

// While no service time is known, it is taken to be this part of the objective, as sidecars do.
constexpr int AssumedTimeDivisor = 3;

}

StopAdmission::StopAdmission(Options options)
    : m_options(options)
{
}

void StopAdmission::recordAnswered(const ServiceName &service, std::chrono::microseconds time)
{
    auto &average = m_averages[service];
    average.samples = std::min(average.samples + 1, AveragedCalls);
    average.microseconds += (static_cast<double>(time.count()) - average.microseconds) / average.samples;
}

void StopAdmission::beginStop(TimePoint callsEnd)
{
    m_callsEnd = callsEnd;
}

bool StopAdmission::admits(const Call &call, TimePoint now) const
{
    if (!m_callsEnd) {
        return true;
    }
    const auto margin = call.repeatable ? m_options.repeatableMargin : m_options.unrepeatableMargin;
    const auto needed = std::chrono::duration_cast<Milliseconds>(expectedTime(call) * margin);
    return now + std::min(needed, call.timeLeft) <= *m_callsEnd;
}

Milliseconds StopAdmission::expectedTime(const Call &call) const
{
    if (call.serviceTime.count() > 0) {
        return call.serviceTime;
    }
    const auto found = m_averages.find(call.service);
    if (found != m_averages.end() && found->second.samples >= MinSamples) {
        return std::max(Milliseconds(static_cast<std::int64_t>(found->second.microseconds / 1000)), Milliseconds(1));
    }
    return call.objective.count() > 0 ? call.objective / AssumedTimeDivisor : call.timeLeft;
}

}
