#pragma once

#include "core/rollouts/rolloutrecord.h"

namespace Galenahill {

// The share of a service's calls that the new version gets, by the time since the rollout started.
// It begins with a small share, then has short load phases with a larger share at a few targets,
// which expose faults that only occur under load, and then steps up to all calls. Until the
// promotion, the shares add up to at most the allowed exposure.
class SharePlan
{
public:
    struct Options
    {
        // Share of the service's calls during the rollout that may reach a bad version.
        double exposureShare = 0.1;
    };

    struct Step
    {
        // Share of the calls, from 0 to 1.
        double share = 0;
        // Number of targets that get these calls; zero: all targets of the version.
        std::size_t targets = 0;
        // Number of the load phase; each selects other targets.
        unsigned loadPhase = 0;
        // Name of the step, for the log.
        const char *name = "";

        friend bool operator==(const Step &, const Step &) = default;
    };

    explicit SharePlan(Options options);

    // The step for the record's stage and age.
    Step at(const RolloutRecord &record) const;

    // Whether the version has been compared long enough to be promoted, and whether it is too late
    // for that.
    bool mayPromote(const RolloutRecord &record) const;
    bool isTooLate(const RolloutRecord &record) const;

    // Whether all calls go to the version.
    bool takesAll(const RolloutRecord &record) const;

private:
    Options m_options;
};

}
