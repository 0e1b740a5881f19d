#include "core/config/platformnodesettings.h"

#include "core/config/settingsreader.h"

#include <charconv>
#include <cmath>
#include <fmt/format.h>

namespace Galenahill {

namespace {

using namespace SettingsReader;
using S = PlatformNodeSettings;

constexpr double MaxSeconds = 3600;
constexpr double MaxRetrySlack = 100000;
constexpr std::uint32_t MaxLinkMbps = 10'000'000;

std::string readFirstStart(S &settings, const std::string &value)
{
    if (value != "true" && value != "false") {
        return "give true or false";
    }
    settings.firstStart = value == "true";
    return {};
}

std::string readLink(S &settings, const std::string &value)
{
    double speed = 0;
    const auto *end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, speed);
    if (parsed.ec != std::errc() || parsed.ptr != end || !(speed >= 0 && speed <= MaxLinkMbps)) {
        return fmt::format("give Mbit/s from 0 to {}, such as 100 or 2.5", MaxLinkMbps);
    }
    settings.linkMbps = static_cast<std::uint32_t>(std::ceil(speed));
    return {};
}

std::string readLogLevel(S &settings, const std::string &value)
{
    if (!isLogLevel(value)) {
        return "give one of debug, info, warning, error";
    }
    settings.logLevel = value;
    return {};
}

const Keys<S> &knownKeys()
{
    static const Keys<S> keys = {
        {"node",
            {
                {"name", {true, text<S>([](S &s, std::string v) { s.name = NodeName(std::move(v)); })}},
                {"data-centre", {true, text<S>([](S &s, std::string v) { s.dataCentre = DataCentre(std::move(v)); })}},
                {"service", {true, text<S>([](S &s, std::string v) { s.service = ServiceName(std::move(v)); })}},
                {"first-start", {false, readFirstStart}},
                {"link-mbps", {false, readLink}},
                {"log-level", {false, readLogLevel}},
                {"stop-timeout-s", {false, seconds<S>([](S &s) -> Milliseconds & { return s.stopTimeout; }, MaxSeconds)}},
            }},
        {"listen",
            {
                {"ingress", {true, endpoint<S>([](S &s) -> Endpoint & { return s.ingress; })}},
                {"sidecar", {true, endpoint<S>([](S &s) -> Endpoint & { return s.sidecar; })}},
                {"registration", {true, endpoint<S>([](S &s) -> Endpoint & { return s.registration; })}},
                {"readiness", {true, endpoint<S>([](S &s) -> Endpoint & { return s.readiness; })}},
                {"peers", {true, endpoint<S>([](S &s) -> Endpoint & { return s.peers; })}},
                {"metrics", {false, endpoint<S>([](S &s) -> Endpoint & { return s.metrics; })}},
            }},
        {"target",
            {
                {"address", {true, endpoint<S>([](S &s) -> Endpoint & { return s.target; })}},
                {"heartbeat-interval-s", {false, seconds<S>([](S &s) -> Milliseconds & { return s.heartbeatInterval; }, MaxSeconds)}},
            }},
        {"store", {{"address", {true, endpoint<S>([](S &s) -> Endpoint & { return s.store; })}}}},
        {"rollouts", {{"exposure-share", {false, fraction<S>([](S &s) -> double & { return s.rolloutExposure; }, 1)}}}},
        {"fleet",
            {
                {"seeds", {false, [](S &s, const std::string &value) { return readEndpoints(s.seeds, value); }}},
                {"repeat-share", {false, fraction<S>([](S &s) -> double & { return s.retryShare; }, 1)}},
                {"repeat-slack", {false, fraction<S>([](S &s) -> double & { return s.retrySlack; }, MaxRetrySlack)}},
                {"repeat-window-s", {false, seconds<S>([](S &s) -> Milliseconds & { return s.retryWindow; }, MaxSeconds)}},
                {"load-report-interval-s", {false, seconds<S>([](S &s) -> Milliseconds & { return s.loadReportInterval; }, MaxSeconds)}},
            }},
    };
    return keys;
}

}

Result<PlatformNodeSettings> PlatformNodeSettings::parse(const std::string &fileName, const std::string &text)
{
    return SettingsReader::parse(fileName, text, knownKeys());
}

}
