#pragma once

#include "common/identifiers.h"

#include <cstdint>
#include <deque>

namespace Galenahill {

// Number of calls of one route, and how many of them missed the objectives.
struct CallCounts
{
    std::uint64_t calls = 0;
    // Failed, or rejected by a node or a target.
    std::uint64_t failed = 0;
    // Succeeded, but later than the route's latency objective.
    std::uint64_t slow = 0;

    CallCounts &operator+=(const CallCounts &other);

    friend bool operator==(const CallCounts &, const CallCounts &) = default;
};

// Call counts of the last six hours in steps of half a minute. Stores only steps with calls: a
// node sees hundreds of routes, most of them with few calls, and a full ring would take 23 KB each.
class SlidingWindowCounts
{
public:
    static constexpr std::chrono::seconds Step{30};
    static constexpr std::chrono::hours MaxWindow{6};

    void add(TimePoint now, const CallCounts &counts);

    // Sum over the window that ends now, rounded to steps. Windows longer than the maximum are cut to it.
    CallCounts sum(TimePoint now, Milliseconds window) const;

private:
    static constexpr std::size_t Steps = MaxWindow / Step;

    struct Bucket
    {
        std::int64_t step = -1;
        CallCounts counts;
    };

    // Ordered by time.
    std::deque<Bucket> m_buckets;
};

}
