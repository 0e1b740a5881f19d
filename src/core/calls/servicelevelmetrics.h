#pragma once

#include "core/calls/slidingcounts.h"
#include "core/config/routedefinition.h"

#include <array>
#include <memory>
#include <vector>

namespace Galenahill {

// How a call ended, as its caller saw it.
enum class CallEnd {
    // The target answered with a status below 500.
    Answered,
    // The target answered with a status of 500 or above.
    TargetFailed,
    // Refused; certainly not run.
    NotRun,
    // Given up; may have run.
    OutcomeUnknown,
};

inline constexpr std::size_t CallEndKinds = 4;

// The name of an end in metrics, such as "not-run".
const char *toString(CallEnd end);

// What one node measured of one route.
struct RouteReport
{
    RouteName route;
    CallType type = CallType::NonIdempotent;
    double sloAvailability = 0;
    Milliseconds sloLatency{0};
    // Since the node's start, by CallEnd.
    std::array<std::uint64_t, CallEndKinds> ends{};
    // Latency of all calls since the start, in milliseconds.
    double latencyP50 = 0;
    double latencyP99 = 0;
    double latencyMax = 0;
    double latencySum = 0;
    // In the order of ServiceLevelMetrics::Windows.
    std::vector<CallCounts> windows;
};

// Calls by route: ends, latency, and the windows from which the burn of the
// service levels is worked out. Usable from several threads.
class ServiceLevelMetrics
{
public:
    static constexpr std::array<std::chrono::minutes, 3> Windows = {std::chrono::minutes(5), std::chrono::minutes(60), std::chrono::minutes(360)};

    ServiceLevelMetrics();
    ~ServiceLevelMetrics();

    void record(const RouteDefinition &route, CallEnd end, std::chrono::microseconds latency, TimePoint now);

    std::vector<RouteReport> report(TimePoint now) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

// How fast a window uses up the error budget: 1 uses it up exactly over the
// objective's period, 0 not at all. Zero without calls or objective.
double burnRate(std::uint64_t bad, std::uint64_t calls, double objectivePercent);

}
