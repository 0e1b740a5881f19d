#pragma once

#include "common/identifiers.h"

namespace Galenahill {

// Rejects calls offered to a target that has free slots but is too slow to meet their objectives,
// such as one that takes ten times its average latency for some seconds. By its free slots alone it
// looks better than its busy peers, and would get its full share of the calls only to respond late.
class LateCallFilter
{
public:
    struct Options
    {
        // Interval at which one call is accepted nevertheless: without such probes nobody would learn
        // that the target is fast again. They make two calls a second late at each slow target, out of
        // about twenty that it would get.
        Milliseconds probeInterval{500};
    };

    explicit LateCallFilter(Options options);

    // Whether to reject a call that is expected to end at `expectedEnd` and should end by `objective`,
    // so that the ingress offers it to another target.
    bool shouldReject(TimePoint now, TimePoint expectedEnd, TimePoint objective);

private:
    Options m_options;
    TimePoint m_lastProbe;
};

}
