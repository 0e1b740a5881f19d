#pragma once

#include "common/identifiers.h"

#include <cstdint>

namespace Galenahill {

// Decides how many slots of a target top-level calls leave to nested calls. While long top-level calls
// hold all slots, a nested call waits until one of them ends, and with it its parent call, which
// holds a slot elsewhere. The reserve follows the nested load that the sidecar observes, so that its
// slots are in use most of the time. Nothing is reserved without nested calls, if the top-level
// calls are not markedly longer, or if the target has few slots. Nested calls that are less urgent than the
// top-level calls do not count: slots kept for them would be taken from calls that go first.
class NestedReserve
{
public:
    struct Options
    {
        // Standard deviations of the number of running nested calls that are reserved beyond its mean.
        double margin = 0.5;
        // Largest share of the slots that is reserved.
        double maxShare = 0.4;
        // Number of slots below which nothing is reserved.
        std::uint32_t minSlots = 6;
        // Mean number of running nested calls below which nothing is reserved: a slot that is kept for less
        // is idle most of the time.
        double minLoad = 1;
        // Ratios of the service times of top-level and nested calls up to which nothing is reserved, and
        // from which the whole reserve is; in between it grows linearly. Shorter top-level calls free
        // their slots soon enough.
        double noReserveRatio = 3;
        double fullReserveRatio = 6;
        // Time in which the weight of a nested call in the arrival rate decays by the factor e.
        double decaySeconds = 1;
    };

    explicit NestedReserve(Options options);

    // A top-level call of that priority started.
    void topLevelCallStarted(std::uint32_t priority);

    // A nested call started whose root call has that priority.
    void nestedCallStarted(std::uint32_t rootPriority, TimePoint now);

    // The target answered a call after that time.
    void callAnswered(bool isNested, std::chrono::microseconds serviceTime);

    // Number of slots, of that many, that top-level calls leave free or to nested calls.
    std::uint32_t slots(std::uint32_t limit, TimePoint now) const;

    // Mean time between two slots that become free for top-level calls while they use all that they
    // may; zero while nothing is reserved.
    std::chrono::microseconds topLevelInterval(std::uint32_t limit, TimePoint now) const;

    // Mean number of nested calls that have been running lately.
    double nestedLoad(TimePoint now) const;

    // Discards everything, for instance when another target takes this one's place.
    void clear();

private:
    double decay(TimePoint now) const;

    Options m_options;
    // Number of nested calls, weighted by their age.
    double m_weight = 0;
    TimePoint m_lastStart;
    // Moving averages; zero while unknown.
    double m_nestedMicroseconds = 0;
    double m_topLevelMicroseconds = 0;
    double m_topLevelPriority = 0;
    bool m_hasTopLevelCalls = false;
};

}
