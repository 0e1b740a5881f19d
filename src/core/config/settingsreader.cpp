#include "core/config/settingsreader.h"

#include "core/config/nearestname.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace Galenahill::SettingsReader {

namespace {

constexpr std::size_t MaxTextLength = 100;

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

void reportUnknown(const std::string &fileName, const ConfigSection &section, const RequiredKeys &keys, std::vector<std::string> &errors)
{
    const auto known = keys.find(section.name);
    if (known == keys.end()) {
        const auto names = namesOf(keys);
        errors.push_back(
            fmt::format("{} [{}]: no such section{}; the sections are {}", fileName, section.name, suggestion(section.name, names), fmt::join(names, ", ")));
        return;
    }
    for (const auto &[name, value] : section.entries) {
        if (known->second.count(name) == 0) {
            const auto names = namesOf(known->second);
            errors.push_back(
                fmt::format("{} [{}] {}: no such key{}; the keys are {}", fileName, section.name, name, suggestion(name, names), fmt::join(names, ", ")));
        }
    }
}

}

std::optional<std::uint64_t> wholeNumber(const std::string &text, std::uint64_t min, std::uint64_t max)
{
    std::uint64_t value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    const bool fits = parsed.ec == std::errc() && parsed.ptr == end && value >= min && value <= max;
    return fits ? std::optional(value) : std::nullopt;
}

std::string readEndpoints(std::vector<Endpoint> &endpoints, const std::string &text)
{
    if (text.empty()) {
        return {};
    }
    std::vector<std::string> items;
    boost::split(items, text, boost::is_any_of(","));
    for (auto &item : items) {
        boost::trim(item);
        const auto parsed = endpointOf(item);
        if (!parsed) {
            return fmt::format("\"{}\": give control addresses as IP:PORT, separated by commas", item);
        }
        endpoints.push_back(*parsed);
    }
    return {};
}

bool isPlainText(const std::string &value)
{
    const auto allowed = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '/'; };
    return !value.empty() && value.size() <= MaxTextLength && std::all_of(value.begin(), value.end(), allowed);
}

Result<std::string> readText(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return failure(ErrorKind::Invalid, path + ": can't be read; give the settings file with --settings=FILE");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

bool isLogLevel(const std::string &value)
{
    static const std::vector<std::string> levels = {"debug", "info", "warning", "error"};
    return std::find(levels.begin(), levels.end(), value) != levels.end();
}

std::optional<double> decimalNumber(const std::string &text, double max)
{
    double value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    const bool fits = parsed.ec == std::errc() && parsed.ptr == end && value >= 0 && value <= max;
    return fits ? std::optional(value) : std::nullopt;
}

std::vector<std::string> unknownOrMissing(const std::string &fileName, const ConfigDocument &document, const RequiredKeys &keys)
{
    std::vector<std::string> errors;
    for (const auto &section : document.sections()) {
        reportUnknown(fileName, section, keys, errors);
    }
    for (const auto &[sectionName, entries] : keys) {
        for (const auto &[name, required] : entries) {
            const auto &sections = document.sections();
            const auto section
                = std::find_if(sections.begin(), sections.end(), [&, wanted = sectionName](const auto &candidate) { return candidate.name == wanted; });
            if (required && (section == sections.end() || section->find(name) == nullptr)) {
                errors.push_back(fmt::format("{} [{}] {}: missing; add it, docs/OPERATIONS.md has an example", fileName, sectionName, name));
            }
        }
    }
    return errors;
}

std::string errorText(const std::string &fileName, const std::string &section, const std::string &name, const std::string &value, const std::string &error)
{
    return fmt::format("{} [{}] {} = {}: {}", fileName, section, name, value, error);
}

tl::unexpected<Error> settingsFailure(const std::vector<std::string> &errors)
{
    return failure(ErrorKind::Invalid, fmt::format("{}", fmt::join(errors, "\n")));
}

}
