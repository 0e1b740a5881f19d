#pragma once

#include "common/identifiers.h"

#include <cstdint>
#include <unordered_map>

namespace Galenahill {

// Derives how long a call may wait for slots, at all sidecars together, from its slack: its latency
// objective less its service time. Where the objective is only a few times the service time, the
// wait is a small share of the objective, since a longer queue adds latency without adding
// throughput. Where it is many times the service time, a call may wait for most of its slack: a
// queue then carries a burst of some seconds that would be rejected otherwise.
class CallSlack
{
public:
    struct Options
    {
        // Share of the objective that a call may wait if it has little slack or its service time is
        // unknown.
        double minShare = 0.15;
        // Ratios of objective to service time up to which the wait is that share, and from which it is
        // a share of the slack; in between it grows linearly. Routes with ratios of 2 to 3.3 keep the
        // short wait, also while the average of their service times is off by a tenth.
        double shortWaitRatio = 3.6;
        double longWaitRatio = 4.8;
        double slackShare = 0.75;
        // Factor over the average service time within which most calls end.
        double serviceTimeMargin = 1.3;
    };

    // How long a call may wait, and the service time from which that follows; zero if unknown.
    struct WaitBound
    {
        Milliseconds wait{0};
        Milliseconds serviceTime{0};
    };

    explicit CallSlack(Options options);

    // A target answered a call of the route after that time, without the wait for a slot but with the
    // nested calls.
    void recordAnswered(const RouteName &route, std::chrono::microseconds serviceTime);

    // Time within which most calls of the route with that objective are answered.
    Milliseconds expectedTime(const RouteName &route, Milliseconds objective) const;

    // Whether a call of the route with that objective that has already waited so long is expected to be
    // answered within it.
    bool canMeetObjective(const RouteName &route, Milliseconds objective, Milliseconds waited) const;

    // How long a call of the route with that objective may wait for slots.
    WaitBound waitBound(const RouteName &route, Milliseconds objective) const;

private:
    struct Average
    {
        double microseconds = 0;
        std::uint32_t samples = 0;
    };

    Options m_options;
    std::unordered_map<RouteName, Average> m_averages;
};

}
