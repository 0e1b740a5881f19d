#include "core/config/nodesettings.h"

#include "core/config/configdocument.h"
#include "core/config/nearestname.h"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/algorithm/string.hpp>
#include <charconv>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <optional>

namespace Galenahill {

namespace {

// Takes a value into the settings; gives the fault in words, or nothing.
using Reader = std::function<std::string(NodeSettings &, const std::string &)>;

struct Key
{
    bool required = false;
    Reader read;
};

std::optional<std::uint64_t> wholeNumber(const std::string &text, std::uint64_t least, std::uint64_t most)
{
    std::uint64_t value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    const bool fits = parsed.ec == std::errc() && parsed.ptr == end && value >= least && value <= most;
    return fits ? std::optional(value) : std::nullopt;
}

bool isAddress(const std::string &text)
{
    in_addr address{};
    return inet_pton(AF_INET, text.c_str(), &address) == 1;
}

Reader address(std::function<std::string &(NodeSettings &)> field)
{
    return [field](NodeSettings &settings, const std::string &text) -> std::string {
        if (!isAddress(text)) {
            return "give an IP number such as 10.0.0.7";
        }
        field(settings) = text;
        return {};
    };
}

Reader port(std::function<std::uint16_t &(NodeSettings &)> field)
{
    return [field](NodeSettings &settings, const std::string &text) -> std::string {
        const auto number = wholeNumber(text, 1, 65535);
        if (!number) {
            return "give a port from 1 to 65535";
        }
        field(settings) = static_cast<std::uint16_t>(*number);
        return {};
    };
}

Reader duration(std::function<Milliseconds &(NodeSettings &)> field, std::uint64_t most)
{
    return [field, most](NodeSettings &settings, const std::string &text) -> std::string {
        const auto number = wholeNumber(text, 1, most);
        if (!number) {
            return fmt::format("give milliseconds from 1 to {}", most);
        }
        field(settings) = Milliseconds(*number);
        return {};
    };
}

Reader count(std::function<std::uint32_t &(NodeSettings &)> field, std::uint64_t least, std::uint64_t most)
{
    return [field, least, most](NodeSettings &settings, const std::string &text) -> std::string {
        const auto number = wholeNumber(text, least, most);
        if (!number) {
            return fmt::format("give a whole number from {} to {}", least, most);
        }
        field(settings) = static_cast<std::uint32_t>(*number);
        return {};
    };
}

Reader text(std::function<void(NodeSettings &, std::string)> store)
{
    return [store](NodeSettings &settings, const std::string &value) -> std::string {
        const auto allowed = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '/'; };
        if (value.empty() || value.size() > 100 || !std::all_of(value.begin(), value.end(), allowed)) {
            return "give up to 100 letters, digits, '-', '_', '.' and '/'";
        }
        store(settings, value);
        return {};
    };
}

std::string readLogLevel(NodeSettings &settings, const std::string &value)
{
    static const std::vector<std::string> levels = {"debug", "info", "warning", "error"};
    if (std::find(levels.begin(), levels.end(), value) == levels.end()) {
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
    std::vector<std::string> items;
    boost::split(items, value, boost::is_any_of(","));
    for (auto &item : items) {
        boost::trim(item);
        const auto colon = item.find(':');
        const auto number = colon == std::string::npos ? std::nullopt : wholeNumber(item.substr(colon + 1), 1, 65535);
        if (!number || !isAddress(item.substr(0, colon))) {
            return fmt::format("\"{}\": give control addresses as IP:PORT, separated by commas", item);
        }
        settings.seeds.push_back({item.substr(0, colon), static_cast<std::uint16_t>(*number)});
    }
    return {};
}

const std::map<std::string, std::map<std::string, Key>> &knownKeys()
{
    using S = NodeSettings;
    static const std::map<std::string, std::map<std::string, Key>> keys = {
        {"node",
            {
                {"name", {true, text([](S &s, std::string v) { s.name = NodeName(std::move(v)); })}},
                {"data-centre", {true, text([](S &s, std::string v) { s.dataCentre = DataCentre(std::move(v)); })}},
                {"address", {true, address([](S &s) -> std::string & { return s.address; })}},
                {"ingress-port", {true, port([](S &s) -> std::uint16_t & { return s.ingressPort; })}},
                {"sidecar-port", {true, port([](S &s) -> std::uint16_t & { return s.sidecarPort; })}},
                {"control-port", {true, port([](S &s) -> std::uint16_t & { return s.controlPort; })}},
                {"drain-timeout-ms", {false, duration([](S &s) -> Milliseconds & { return s.drainTimeout; }, 600000)}},
                {"log-level", {false, readLogLevel}},
            }},
        {"target",
            {
                {"service", {true, text([](S &s, std::string v) { s.service = ServiceName(std::move(v)); })}},
                {"address", {true, address([](S &s) -> std::string & { return s.target.address; })}},
                {"port", {true, port([](S &s) -> std::uint16_t & { return s.target.port; })}},
                {"health-path", {false, text([](S &s, std::string v) { s.healthPath = std::move(v); })}},
            }},
        {"platform",
            {
                {"address", {true, address([](S &s) -> std::string & { return s.store.address; })}},
                {"port", {true, port([](S &s) -> std::uint16_t & { return s.store.port; })}},
                {"timeout-ms", {false, duration([](S &s) -> Milliseconds & { return s.storeTimeout; }, 60000)}},
            }},
        {"fleet",
            {
                {"seeds", {false, readSeeds}},
                {"prefer", {false, readPreference}},
                {"fan-out", {false, count([](S &s) -> std::uint32_t & { return s.fanOut; }, 1, 16)}},
                {"watchers", {false, count([](S &s) -> std::uint32_t & { return s.watchers; }, 1, 16)}},
                {"drop-percent", {false, count([](S &s) -> std::uint32_t & { return s.dropPercent; }, 0, 90)}},
            }},
        {"testing", {{"link-faults", {false, readLinkFaults}}}},
    };
    return keys;
}

template <typename Map>
std::vector<std::string> namesOf(const Map &map)
{
    std::vector<std::string> names;
    names.reserve(map.size());
    for (const auto &[name, ignored] : map) {
        names.push_back(name);
    }
    return names;
}

}

Result<NodeSettings> NodeSettings::parse(const std::string &fileName, const std::string &text)
{
    const auto document = ConfigDocument::parse({FileName(fileName), text});
    if (!document) {
        return tl::unexpected(document.error());
    }
    NodeSettings settings;
    std::vector<std::string> faults;
    for (const auto &section : document->sections()) {
        const auto keys = knownKeys().find(section.name);
        if (keys == knownKeys().end()) {
            const auto names = namesOf(knownKeys());
            faults.push_back(fmt::format(
                "{} [{}]: no such section{}; the sections are {}", fileName, section.name, suggestion(section.name, names), fmt::join(names, ", ")));
            continue;
        }
        for (const auto &[name, value] : section.entries) {
            const auto key = keys->second.find(name);
            if (key == keys->second.end()) {
                const auto names = namesOf(keys->second);
                faults.push_back(
                    fmt::format("{} [{}] {}: no such key{}; the keys are {}", fileName, section.name, name, suggestion(name, names), fmt::join(names, ", ")));
                continue;
            }
            if (const auto fault = key->second.read(settings, value); !fault.empty()) {
                faults.push_back(fmt::format("{} [{}] {} = {}: {}", fileName, section.name, name, value, fault));
            }
        }
    }
    for (const auto &[sectionName, keys] : knownKeys()) {
        for (const auto &[name, key] : keys) {
            const auto &sections = document->sections();
            const auto section
                = std::find_if(sections.begin(), sections.end(), [&, wanted = sectionName](const auto &candidate) { return candidate.name == wanted; });
            if (key.required && (section == sections.end() || section->find(name) == nullptr)) {
                faults.push_back(fmt::format("{} [{}] {}: missing; add it, docs/OPERATING.md has an example", fileName, sectionName, name));
            }
        }
    }
    if (!faults.empty()) {
        return failure(ErrorKind::Invalid, fmt::format("{}", fmt::join(faults, "\n")));
    }
    return settings;
}

}
