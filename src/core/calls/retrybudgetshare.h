#pragma once

#include "core/calls/recentmaximum.h"
#include "core/calls/retrybudget.h"

#include <cstddef>

namespace Galenahill {

// The part of a fleet's retry budget that one node uses. The nodes do not coordinate every retry, so the parts together
// have to stay below the whole, also while nodes restart or cannot reach each other.
class RetryBudgetShare
{
public:
    struct Options
    {
        // Budget of the fleet for each service: retries for each call, and a fixed number for each window.
        double retriesPerCall = 0.1;
        double slack = 20;
        Milliseconds window{10000};
        // When this process started.
        TimePoint started;
    };

    explicit RetryBudgetShare(Options options);

    // Sets the number of live members that the node knows, with itself, and the node's place in an order of theirs.
    void setMembers(std::size_t members, std::size_t rank, TimePoint now);

    // Number of members that the share is computed from.
    std::size_t members(TimePoint now) const;

    RetryBudget::Options budget(TimePoint now) const;

private:
    double slack(TimePoint now) const;

    Options m_options;
    RecentMaximum m_members;
    RecentMaximum m_rank;
};

}
