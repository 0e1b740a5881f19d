#include "core/calls/retrybudgetshare.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Part of the fleet's budget that its nodes use together.
constexpr double UsedShare = 0.65;

// Members that were lost may be cut off and go on using their parts.
constexpr std::chrono::minutes MemberMemory{10};

}

RetryBudgetShare::RetryBudgetShare(Options options)
    : m_options(options)
    , m_members(MemberMemory)
    , m_rank(MemberMemory)
{
}

void RetryBudgetShare::setMembers(std::size_t members, std::size_t rank, TimePoint now)
{
    m_members.set(members, now);
    m_rank.set(rank, now);
}

std::size_t RetryBudgetShare::members(TimePoint now) const
{
    return std::max<std::size_t>(m_members.value(now), 1);
}

// The slack of a process that has just started may have been used by its predecessor, and a node that knows no other
// member cannot know its part. Where there are more nodes than retries, the first nodes have one each.
double RetryBudgetShare::slack(TimePoint now) const
{
    const auto known = static_cast<double>(members(now));
    if (known <= 1 || now - m_options.started < m_options.window) {
        return 0;
    }
    const auto whole = m_options.slack * UsedShare;
    if (whole >= known) {
        return whole / known;
    }
    return static_cast<double>(m_rank.value(now)) + 1 <= whole ? 1 : 0;
}

RetryBudget::Options RetryBudgetShare::budget(TimePoint now) const
{
    return {.retriesPerCall = m_options.retriesPerCall * UsedShare, .slack = slack(now), .window = m_options.window};
}

}
