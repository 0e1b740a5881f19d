#pragma once

#include "core/rollouts/rolloutrecord.h"

namespace Galenahill {

// The share of a service's calls that a version under test gets, by the time since
// its order. A small share first; then short spells of a larger one at a few targets,
// so that a fault which only shows under load does; then steps up to all calls. Until
// the promotion the shares add up to at most the exposure that is allowed.
class SharePlan
{
public:
    struct Options
    {
        // Share of the service's calls in the whole time that may reach a version
        // that turns out bad.
        double exposureShare = 0.1;
    };

    struct Step
    {
        // Share of the calls, from 0 to 1.
        double share = 0;
        // Targets that get them; zero: all of the version.
        std::size_t targets = 0;
        // Number of the spell of load; another one has other targets.
        unsigned spell = 0;
        // Part of the plan, for the log.
        const char *name = "";

        friend bool operator==(const Step &, const Step &) = default;
    };

    explicit SharePlan(Options options);

    // The step that the record is at.
    Step at(const RolloutRecord &record) const;

    // Whether the version has been under test long enough to be promoted, and whether
    // it is too late for that.
    bool mayPromote(const RolloutRecord &record) const;
    bool isTooLate(const RolloutRecord &record) const;

    // Whether all calls go to the version.
    bool takesAll(const RolloutRecord &record) const;

private:
    Options m_options;
};

}
