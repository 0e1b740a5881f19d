#include "core/rollouts/versioncounts.h"

#include <algorithm>
#include <cmath>

namespace Galenahill {

std::uint8_t LatencyBucket::indexOf(Milliseconds time)
{
    const auto doublings = std::log2(static_cast<double>(std::max<std::int64_t>(time.count(), 1)));
    return static_cast<std::uint8_t>(std::min(doublings * BucketsPerDoubling, Abandoned - 1.0));
}

void RouteCounts::add(TargetResult result, Milliseconds time, bool timed)
{
    ++calls;
    failures += result == TargetResult::Failed ? 1 : 0;
    if (!timed) {
        return;
    }
    const auto bucket = result == TargetResult::Abandoned ? LatencyBucket::Abandoned : LatencyBucket::indexOf(time);
    const auto found = std::find_if(latencies.begin(), latencies.end(), [&](const LatencyBucket &item) { return item.index == bucket; });
    if (found == latencies.end()) {
        latencies.push_back({bucket, 1});
    } else {
        ++found->calls;
    }
}

}
