#include "core/calls/returntime.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Shortest time to come back after: several slots come free meanwhile, and a caller
// can still be answered within its objective.
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
