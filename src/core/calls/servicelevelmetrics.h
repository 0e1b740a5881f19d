#pragma once

#include "core/calls/slidingwindowcounts.h"
#include "core/config/routedefinition.h"

#include <array>
#include <memory>
#include <vector>

namespace Galenahill {

// How a call ended, as its caller saw it.
enum class CallResult {
    // The target responded with a status below 500.
    Answered,
    // The target responded with a status of 500 or above.
    TargetFailed,
    // Rejected; certainly not executed.
    NotRun,
    // Failed or timed out; may have been executed.
    OutcomeUnknown,
};

inline constexpr std::size_t CallResultKinds = 4;

// The name of a result in metrics, such as "not-run".
const char *toString(CallResult result);

// What one node measured of one route.
struct RouteReport
{
    RouteName route;
    CallType type = CallType::NonIdempotent;
    double sloAvailability = 0;
    Milliseconds sloLatency{0};
    // Number of calls since the node's start, indexed by CallResult.
    std::array<std::uint64_t, CallResultKinds> results{};
    // Latency of all calls since the node's start, in milliseconds.
    double latencyP50 = 0;
    double latencyP99 = 0;
    double latencyMax = 0;
    double latencySum = 0;
    // In the order of ServiceLevelMetrics::Windows.
    std::vector<CallCounts> windows;
};

// Results and latency of calls by route, and the windows from which the burn rates are computed.
// Thread-safe.
class ServiceLevelMetrics
{
public:
    static constexpr std::array<std::chrono::minutes, 3> Windows = {std::chrono::minutes(5), std::chrono::minutes(60), std::chrono::minutes(360)};

    ServiceLevelMetrics();
    ~ServiceLevelMetrics();

    void record(const RouteDefinition &route, CallResult result, std::chrono::microseconds latency, TimePoint now);

    std::vector<RouteReport> report(TimePoint now) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

// How fast a window uses up the error budget: at 1 the budget lasts exactly for the objective's
// period, at 0 nothing is used. Zero if there are no calls or no objective.
double burnRate(std::uint64_t bad, std::uint64_t calls, double objectivePercent);

}
