#include "core/customers/leasereserve.h"

#include "core/customers/limitslack.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Time in which a spent reserve fills again, so that failures in short succession share one.
constexpr double RefillSeconds = 30;

// Time after which a silent grantor counts as failed. One that is cut off instead notices it within a
// second, and until then grants calls at its own node.
constexpr Milliseconds FailedDelay{1500};

// Longest time whose tokens a node that is cut off accumulates, beyond a whole token.
constexpr double CutOffBurstSeconds = 1;

}

LeaseReserve::LeaseReserve(Milliseconds cutOffDelay, double phase, TimePoint now)
    : m_cutOffDelay(cutOffDelay)
    , m_phase(phase)
    , m_updated(now)
{
}

void LeaseReserve::update(const CustomerLimit &limit, const LimitMembers &members, bool onlyFewSilent, TimePoint now)
{
    const auto seconds = [](Clock::duration time) { return std::max(0.0, std::chrono::duration<double>(time).count()); };
    const auto known = members.known(now);
    // A node that has not seen the fleet doesn't know how small its share is.
    const auto base = members.hasSeenOthers() ? reserveTokens(limit, known) : 0;
    const auto rate = members.hasSeenOthers() ? limit.ratePerSecond / static_cast<double>(known) : 0;
    const auto delay = onlyFewSilent ? FailedDelay : m_cutOffDelay;
    const auto cutOffAt = m_silentSince ? *m_silentSince + delay : TimePoint::max();
    if (cutOffAt < now) {
        m_tokens -= m_cutOff ? 0 : m_phase;
        m_cutOff = true;
        const auto capacity = std::max(base, std::min(1.0, rate * 60) + rate * CutOffBurstSeconds);
        m_tokens = std::min(capacity, m_tokens + rate * seconds(now - std::max(m_updated, cutOffAt)));
    } else {
        m_tokens = std::min(base, m_tokens + base / RefillSeconds * seconds(now - m_updated));
    }
    m_updated = std::max(m_updated, now);
}

void LeaseReserve::grantorSilent(TimePoint since)
{
    if (!m_silentSince) {
        m_silentSince = since;
    }
}

void LeaseReserve::grantorAnswered()
{
    m_silentSince.reset();
    m_cutOff = false;
    m_tokens = std::max(m_tokens, 0.0);
}

bool LeaseReserve::tryTake()
{
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void LeaseReserve::giveBack()
{
    m_tokens += 1;
}

}
