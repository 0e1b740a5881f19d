#pragma once

#include "core/calls/retrybudget.h"

#include <cstddef>

namespace Galenahill {

// The part of a fleet's retry budget that one node uses. The nodes do not coordinate every retry, so the parts together
// have to stay below the whole.
class RetryBudgetShare
{
public:
    struct Options
    {
        // Budget of the fleet for each service: retries for each call, and a fixed number for each window.
        double retriesPerCall = 0.1;
        double slack = 20;
        // When this process started, and whether the whole fleet was started for the first time.
        TimePoint started;
        bool firstStart = false;
    };

    explicit RetryBudgetShare(Options options);

    // Sets the number of live members that the node knows, with itself.
    void setMembers(std::size_t members, TimePoint now);

    // Number of members that the share is computed from.
    std::size_t members(TimePoint now) const;

    RetryBudget::Options budget(TimePoint now) const;

private:
    Options m_options;
    std::size_t m_members = 1;
};

}
