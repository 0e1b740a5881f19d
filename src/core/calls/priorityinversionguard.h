#pragma once

#include "core/calls/rejectionratio.h"
#include "core/config/routedefinition.h"

#include <cstdint>
#include <map>
#include <random>
#include <unordered_map>
#include <vector>

namespace Galenahill {

// Protects calls of higher priority from the nested calls of lower ones. Nested calls go first at
// every target, because otherwise the work of their parent calls would be lost. So lookups that
// each call the submissions service twice take all of its slots, and submissions, which have a
// higher priority, are rejected. The guard sheds lookups before they start: it rejects as large a
// fraction of them as is rejected of the higher-priority calls to the services that they call. The
// nodes of the targets report which services a route calls.
class PriorityInversionGuard
{
public:
    struct Options
    {
        std::uint64_t seed = 1;
        // Fraction by which lower-priority calls may be better off; smaller differences over some
        // seconds are due to chance.
        double margin = 0.05;
    };

    explicit PriorityInversionGuard(Options options);

    // Targets that execute calls of the route call those services.
    void setCalledServices(const RouteName &route, std::vector<ServiceName> services);

    // The services that targets are known to call while they execute calls of the route.
    const std::vector<ServiceName> &calledServices(const RouteName &route) const;

    // A call of the route to the service ended; `rejected`: for lack of free slots.
    void callEnded(const RouteDefinition &route, const ServiceName &service, bool rejected, TimePoint now);

    // Whether to reject a call of the route in favour of calls of higher priority.
    bool shouldShed(const RouteDefinition &route, TimePoint now);

    // Highest fraction of higher-priority calls that is rejected at any service that the route calls.
    double higherPriorityRejectionRatio(const RouteDefinition &route, TimePoint now) const;

private:
    Options m_options;
    std::mt19937_64 m_random;
    std::unordered_map<RouteName, std::vector<ServiceName>> m_calledServices;
    // By service and priority, and by route without the calls that the guard shed.
    std::map<ServiceName, std::map<std::uint32_t, RejectionRatio>> m_rejectionsByService;
    std::unordered_map<RouteName, RejectionRatio> m_rejectionsByRoute;
};

}
