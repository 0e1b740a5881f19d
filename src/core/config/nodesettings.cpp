#include "core/config/nodesettings.h"

#include "core/config/settingsreader.h"

namespace Galenahill {

namespace {

using namespace SettingsReader;

std::string readLogLevel(NodeSettings &settings, const std::string &value)
{
    if (!isLogLevel(value)) {
        return "give one of debug, info, warning, error";
    }
    settings.logLevel = value;
    return {};
}

std::string readPreference(NodeSettings &settings, const std::string &value)
{
    if (value != "time" && value != "bytes") {
        return "give time or bytes";
    }
    settings.prefer = value == "time" ? GossipPreference::Time : GossipPreference::Bytes;
    return {};
}

std::string readLinkFaults(NodeSettings &settings, const std::string &value)
{
    if (value != "yes" && value != "no") {
        return "give yes or no";
    }
    settings.linkFaults = value == "yes";
    return {};
}

std::string readSeeds(NodeSettings &settings, const std::string &value)
{
    return readEndpoints(settings.seeds, value);
}

const Keys<NodeSettings> &knownKeys()
{
    using S = NodeSettings;
    static const Keys<NodeSettings> keys = {
        {"node",
            {
                {"name", {true, text<S>([](S &s, std::string v) { s.name = NodeName(std::move(v)); })}},
                {"data-centre", {true, text<S>([](S &s, std::string v) { s.dataCentre = DataCentre(std::move(v)); })}},
                {"address", {true, address<S>([](S &s) -> std::string & { return s.address; })}},
                {"ingress-port", {true, port<S>([](S &s) -> std::uint16_t & { return s.ingressPort; })}},
                {"sidecar-port", {true, port<S>([](S &s) -> std::uint16_t & { return s.sidecarPort; })}},
                {"control-port", {true, port<S>([](S &s) -> std::uint16_t & { return s.controlPort; })}},
                {"drain-timeout-ms", {false, duration<S>([](S &s) -> Milliseconds & { return s.drainTimeout; }, 600000)}},
                {"log-level", {false, readLogLevel}},
            }},
        {"target",
            {
                {"service", {true, text<S>([](S &s, std::string v) { s.service = ServiceName(std::move(v)); })}},
                {"address", {true, address<S>([](S &s) -> std::string & { return s.target.address; })}},
                {"port", {true, port<S>([](S &s) -> std::uint16_t & { return s.target.port; })}},
                {"health-path", {false, text<S>([](S &s, std::string v) { s.healthPath = std::move(v); })}},
            }},
        {"platform",
            {
                {"address", {true, address<S>([](S &s) -> std::string & { return s.store.address; })}},
                {"port", {true, port<S>([](S &s) -> std::uint16_t & { return s.store.port; })}},
                {"timeout-ms", {false, duration<S>([](S &s) -> Milliseconds & { return s.storeTimeout; }, 60000)}},
            }},
        {"fleet",
            {
                {"seeds", {false, readSeeds}},
                {"prefer", {false, readPreference}},
                {"fan-out", {false, count<S>([](S &s) -> std::uint32_t & { return s.fanOut; }, 1, 16)}},
                {"watchers", {false, count<S>([](S &s) -> std::uint32_t & { return s.watchers; }, 1, 16)}},
                {"drop-percent", {false, count<S>([](S &s) -> std::uint32_t & { return s.dropPercent; }, 0, 90)}},
            }},
        {"testing", {{"link-faults", {false, readLinkFaults}}}},
    };
    return keys;
}

}

Result<NodeSettings> NodeSettings::parse(const std::string &fileName, const std::string &text)
{
    return SettingsReader::parse(fileName, text, knownKeys());
}

}
