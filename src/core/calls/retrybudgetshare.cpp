#include "core/calls/retrybudgetshare.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Part of the fleet's budget that its nodes use together, and the minimum slack of one node.
constexpr double UsedShare = 0.65;
constexpr double MinSlack = 1.5;

}

RetryBudgetShare::RetryBudgetShare(Options options)
    : m_options(options)
{
}

void RetryBudgetShare::setMembers(std::size_t members, TimePoint)
{
    m_members = std::max<std::size_t>(members, 1);
}

std::size_t RetryBudgetShare::members(TimePoint) const
{
    return m_members;
}

RetryBudget::Options RetryBudgetShare::budget(TimePoint now) const
{
    const auto slack = m_options.slack * UsedShare / static_cast<double>(members(now));
    return {.tokensPerCall = m_options.retriesPerCall * UsedShare, .maxTokens = std::max(MinSlack, slack)};
}

}
