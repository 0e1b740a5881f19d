// The operator's configuration.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Review {

struct Route
{
    std::string name;
    std::string prefix;
    std::string service;
    std::string type = "safe";
    double timeoutSeconds = 2;
    int attempts = 2;
    double targetLatencySeconds = 1;
};

inline nlohmann::json configuration(
    int version, const std::string &host, const std::vector<std::string> &services, const std::vector<Route> &routes, int maxHeaderBytes = 16384)
{
    using Json = nlohmann::json;
    Json serviceList = Json::array();
    for (const auto &service : services) {
        serviceList.push_back({{"name", service}, {"health-check-path", "/health"}, {"max-connections", 120}, {"protocol", "h1"}, {"tls", false}});
    }
    Json paths = Json::array();
    for (const auto &route : routes) {
        paths.push_back({{"name", route.name},
            {"path-prefix", route.prefix},
            {"type", route.type},
            {"timeout-s", route.timeoutSeconds},
            {"target-latency-s", route.targetLatencySeconds},
            {"priority", 0},
            {"service", route.service},
            {"attempts", route.attempts},
            {"anonymous", false}});
    }
    return {{"version", "r" + std::to_string(version)},
        {"services", serviceList},
        {"limits", {{"max-header-bytes", maxHeaderBytes}, {"max-body-bytes", 67108864}, {"header-timeout-s", 3}, {"idle-timeout-s", 15}}},
        {"virtual-hosts", Json::array({{{"host", host}, {"paths", paths}}})}};
}

}
