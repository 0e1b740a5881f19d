#include "core/calls/servicelevelmetrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>
#include <mutex>

namespace Galenahill {

namespace accumulators = boost::accumulators;

namespace {

// Takes constant memory for any number of calls.
using Latency
    = accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::extended_p_square_quantile, accumulators::tag::max, accumulators::tag::sum>>;

constexpr std::array<double, 5> Probabilities = {0.5, 0.9, 0.95, 0.99, 0.999};

struct RouteMetrics
{
    CallType type = CallType::NonIdempotent;
    double sloAvailability = 0;
    Milliseconds sloLatency{0};
    std::array<std::uint64_t, CallResultKinds> results{};
    Latency latency{accumulators::extended_p_square_probabilities = Probabilities};
    SlidingWindowCounts counts;
};

}

class ServiceLevelMetrics::Private
{
public:
    mutable std::mutex mutex;
    std::map<RouteName, RouteMetrics> routes;
};

const char *toString(CallResult result)
{
    switch (result) {
    case CallResult::Answered:
        return "answered";
    case CallResult::TargetFailed:
        return "target-failed";
    case CallResult::NotRun:
        return "not-run";
    case CallResult::OutcomeUnknown:
        return "outcome-unknown";
    }
    return "outcome-unknown";
}

ServiceLevelMetrics::ServiceLevelMetrics()
    : d(std::make_unique<Private>())
{
}

ServiceLevelMetrics::~ServiceLevelMetrics() = default;

void ServiceLevelMetrics::record(const RouteDefinition &route, CallResult result, std::chrono::microseconds latency, TimePoint now)
{
    const std::lock_guard lock(d->mutex);
    auto &metrics = d->routes[route.name];
    metrics.type = route.type;
    metrics.sloAvailability = route.sloAvailability;
    metrics.sloLatency = route.sloLatency;
    ++metrics.results[static_cast<std::size_t>(result)];
    metrics.latency(static_cast<double>(latency.count()) / 1000);
    const bool slow = result == CallResult::Answered && route.sloLatency.count() > 0 && latency > route.sloLatency;
    metrics.counts.add(now, {.calls = 1, .failed = result == CallResult::Answered ? 0U : 1U, .slow = slow ? 1U : 0U});
}

std::vector<RouteReport> ServiceLevelMetrics::report(TimePoint now) const
{
    const std::lock_guard lock(d->mutex);
    std::vector<RouteReport> reports;
    for (const auto &[name, metrics] : d->routes) {
        RouteReport report;
        report.route = name;
        report.type = metrics.type;
        report.sloAvailability = metrics.sloAvailability;
        report.sloLatency = metrics.sloLatency;
        report.results = metrics.results;
        report.latencyP50 = accumulators::quantile(metrics.latency, accumulators::quantile_probability = 0.5);
        report.latencyP99 = accumulators::quantile(metrics.latency, accumulators::quantile_probability = 0.99);
        report.latencyMax = accumulators::max(metrics.latency);
        report.latencySum = accumulators::sum(metrics.latency);
        for (const auto window : Windows) {
            report.windows.push_back(metrics.counts.sum(now, window));
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

double burnRate(std::uint64_t bad, std::uint64_t calls, double objectivePercent)
{
    if (calls == 0 || objectivePercent <= 0 || objectivePercent >= 100) {
        return 0;
    }
    const double budget = 1 - objectivePercent / 100;
    return static_cast<double>(bad) / static_cast<double>(calls) / budget;
}

}
