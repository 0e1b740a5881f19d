#pragma once

#include "core/calls/refusalshare.h"
#include "core/config/routedefinition.h"

#include <cstdint>
#include <map>
#include <random>
#include <unordered_map>
#include <vector>

namespace Galenahill {

// Keeps less urgent calls from taking the slots of more urgent ones by the calls
// that they make. Calls of running calls go first at every target, or the work
// done so far would be lost; so lookups whose runs ask the submissions service
// twice each take all of its slots, and submissions, more urgent, are refused.
// The lookups are shed before they start: as large a share of them is
// refused as of the more urgent calls of the services that they lead to. What a
// route's runs call is learnt from their targets' nodes.
class UrgencyGuard
{
public:
    struct Options
    {
        std::uint64_t seed = 1;
        // Share by which the less urgent may be better off: below it the shares of
        // a few seconds differ by chance.
        double margin = 0.05;
    };

    explicit UrgencyGuard(Options options);

    // The run of a call of the route makes calls to those services.
    void learn(const RouteName &route, std::vector<ServiceName> services);

    // The services that runs of the route are known to call.
    const std::vector<ServiceName> &calledBy(const RouteName &route) const;

    // A call of the route to the service ended, refused for want of room or not.
    void ended(const RouteDefinition &route, const ServiceName &service, bool refused, TimePoint now);

    // Whether a call of the route is to be refused for the sake of more urgent
    // ones.
    bool shedLoad(const RouteDefinition &route, TimePoint now);

    // Share of the more urgent calls that are refused at the services to which
    // the route's runs lead.
    double refusedAbove(const RouteDefinition &route, TimePoint now) const;

private:
    Options m_options;
    std::mt19937_64 m_random;
    std::unordered_map<RouteName, std::vector<ServiceName>> m_calls;
    // By service and rank, and by route without those that gave way.
    std::map<ServiceName, std::map<std::uint32_t, RefusalShare>> m_services;
    std::unordered_map<RouteName, RefusalShare> m_routes;
};

}
