#include "core/calls/returntime.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Shortest time to come back after. Slots come free every few milliseconds to
// some tens of them, so that a caller which returns this soon can still be
// answered within an objective of 150 ms, the tightest on record.
constexpr Milliseconds Shortest{40};

// Share of the time left that a caller is asked to wait at the most. Callers
// honour up to a third; beyond it they come back unasked.
constexpr int LongestShare = 3;

// The return is spread over this many times the wait.
constexpr double Spread = 0.5;

}

ReturnTime::ReturnTime(std::uint64_t seed)
    : m_random(seed)
{
}

Milliseconds ReturnTime::after(Milliseconds toldWait, Milliseconds timeLeft)
{
    const auto base = static_cast<double>(std::max(toldWait, Shortest).count());
    const auto spread = std::uniform_real_distribution<double>(1.0, 1.0 + Spread)(m_random);
    const Milliseconds wanted(static_cast<std::int64_t>(base * spread));
    return std::min(wanted, std::max(timeLeft / LongestShare, Milliseconds(1)));
}

}
