#include "core/rollouts/versioncounts.h"

#include <algorithm>
#include <cmath>

namespace Galenahill {

std::uint8_t TimeRange::of(Milliseconds time)
{
    const auto doublings = std::log2(static_cast<double>(std::max<std::int64_t>(time.count(), 1)));
    return static_cast<std::uint8_t>(std::min(doublings * PerDouble, GivenUp - 1.0));
}

void RouteCounts::add(TargetEnd result, Milliseconds time, bool timed)
{
    ++calls;
    failures += result == TargetEnd::Failed ? 1 : 0;
    if (!timed) {
        return;
    }
    const auto bucket = result == TargetEnd::GivenUp ? TimeRange::GivenUp : TimeRange::of(time);
    const auto found = std::find_if(times.begin(), times.end(), [&](const TimeRange &item) { return item.range == bucket; });
    if (found == times.end()) {
        times.push_back({bucket, 1});
    } else {
        ++found->calls;
    }
}

}
