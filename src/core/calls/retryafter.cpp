#include "core/calls/retryafter.h"

#include <algorithm>
#include <cmath>

namespace Galenahill {

namespace {

// Minimum delay: several slots are freed meanwhile, and the caller can still meet its objective.
constexpr Milliseconds MinDelay{40};

// At most one third of the caller's remaining time: callers honour no longer delay and retry
// earlier on their own.
constexpr int MaxWaitDivisor = 3;

// The jitter adds up to this fraction of the wait.
constexpr double Jitter = 0.5;

// Time in which the weight of an answered call in the rate decays by the factor e, and the weight of
// calls below which their rate means nothing.
constexpr double DecaySeconds = 2;
constexpr double MinWeight = 3;

// Share of the mean time between two answered calls that lies between two returns. Returning calls go
// ahead of new ones, and with the whole time most callers would return too late for their objective.
constexpr double SpacingShare = 0.25;

// Longest time between two callers, which a node that is served only now and then would exceed.
constexpr std::chrono::microseconds MaxSpacing{200000};

// Maximum number of services that are kept; a configuration may have many more.
constexpr std::size_t MaxServices = 256;

}

RetryAfter::RetryAfter(std::uint64_t seed)
    : m_random(seed)
{
}

RetryAfter::Service &RetryAfter::serviceOf(const ServiceName &service)
{
    if (m_services.size() >= MaxServices && m_services.count(service) == 0) {
        m_services.clear();
    }
    return m_services[service];
}

void RetryAfter::callAnswered(const ServiceName &name, TimePoint now)
{
    auto &service = serviceOf(name);
    const auto seconds = std::chrono::duration<double>(now - service.lastAnswered).count();
    service.answered = service.answered * std::exp(-seconds / DecaySeconds) + 1;
    service.lastAnswered = now;
}

std::chrono::microseconds RetryAfter::spacing(const ServiceName &name, TimePoint now) const
{
    const auto found = m_services.find(name);
    if (found == m_services.end()) {
        return std::chrono::microseconds(0);
    }
    const auto seconds = std::chrono::duration<double>(now - found->second.lastAnswered).count();
    const auto weight = found->second.answered * std::exp(-seconds / DecaySeconds);
    if (weight < MinWeight) {
        return std::chrono::microseconds(0);
    }
    return std::min(std::chrono::microseconds(static_cast<std::int64_t>(DecaySeconds * 1e6 * SpacingShare / weight)), MaxSpacing);
}

// A caller that cannot wait until its place, or would then be late, takes none: it returns earlier, and its
// delay is only jittered.
Milliseconds RetryAfter::delay(const Rejection &rejection, TimePoint now)
{
    auto &service = serviceOf(rejection.service);
    const auto longest = std::max(rejection.timeLeft / MaxWaitDivisor, Milliseconds(1));
    const auto minimum = std::max(rejection.backlog, MinDelay);
    const auto returnWithin = rejection.returnWithin.count() > 0 ? rejection.returnWithin : longest;
    const auto gap = spacing(rejection.service, now);
    const auto place = std::max<TimePoint>(now + minimum, service.nextReturn);
    if (rejection.willReturn && gap.count() > 0 && place + gap <= now + std::min(longest, returnWithin)) {
        service.nextReturn = place + gap;
        const auto withinGap = std::uniform_int_distribution<std::int64_t>(0, gap.count())(m_random);
        return std::chrono::duration_cast<Milliseconds>(place + std::chrono::microseconds(withinGap) - now);
    }
    const auto factor = std::uniform_real_distribution<double>(1.0, 1.0 + Jitter)(m_random);
    const Milliseconds jittered(static_cast<std::int64_t>(static_cast<double>(minimum.count()) * factor));
    return std::min(jittered, longest);
}

}
