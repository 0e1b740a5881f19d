#include "core/calls/calledservices.h"

#include <algorithm>

namespace Galenahill {

namespace {

constexpr std::size_t MaxRoutes = 64;
constexpr std::size_t MaxServicesPerRoute = 4;

}

void CalledServices::add(const RouteName &route, const ServiceName &service)
{
    if (m_called.size() >= MaxRoutes && m_called.count(route) == 0) {
        m_called.clear();
    }
    auto &services = m_called[route];
    if (services.size() < MaxServicesPerRoute && std::find(services.begin(), services.end(), service) == services.end()) {
        services.push_back(service);
    }
}

const std::vector<ServiceName> *CalledServices::servicesOf(const RouteName &route) const
{
    const auto found = m_called.find(route);
    return found == m_called.end() ? nullptr : &found->second;
}

}
