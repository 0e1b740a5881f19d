#pragma once

#include "common/identifiers.h"

namespace Galenahill {

// Turns offered calls away from a target that has slots free but is too slow for
// their objective, as one that takes ten times its usual time for a few seconds.
// By its free slots alone it looks better than its busy neighbours, and takes its
// full share of the calls only to answer them late.
class LateOffers
{
public:
    struct Options
    {
        // Every so often a call is taken all the same: with none, nobody would
        // learn that the target is fast again. Two calls a second are late for
        // that at each slow target, of some twenty that it would get.
        Milliseconds trialInterval{500};
    };

    explicit LateOffers(Options options);

    // Whether a call that should be answered by its objective, and would be at
    // that other time, is better offered elsewhere.
    bool turnsAway(TimePoint now, TimePoint expectedEnd, TimePoint objective);

private:
    Options m_options;
    TimePoint m_lastTrial;
};

}
