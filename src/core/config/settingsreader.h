#pragma once

#include "common/endpoint.h"
#include "common/error.h"
#include "common/identifiers.h"
#include "core/config/configdocument.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Reads a program's settings from an INI text by a table of the keys that it
// knows. All faults are collected, each naming section, key and remedy.
namespace Galenahill::SettingsReader {

// Takes a value into the settings; gives the fault in words, or nothing.
template <typename Settings>
using Reader = std::function<std::string(Settings &, const std::string &)>;

template <typename Settings>
struct Key
{
    bool required = false;
    Reader<Settings> read;
};

// The known keys by section and name.
template <typename Settings>
using Keys = std::map<std::string, std::map<std::string, Key<Settings>>>;

std::optional<std::uint64_t> wholeNumber(const std::string &text, std::uint64_t least, std::uint64_t most);

// Reads "IP:PORT, IP:PORT"; an empty text is an empty list.
std::string readEndpoints(std::vector<Endpoint> &endpoints, const std::string &text);

// Whether the value is a plain name of up to 100 characters.
bool isPlainText(const std::string &value);
bool isLogLevel(const std::string &value);

// A decimal number from zero to the bound.
std::optional<double> decimalNumber(const std::string &text, double most);

// What a document lacks or has too much, given the known keys: whether each is
// required, by section and name.
using RequiredKeys = std::map<std::string, std::map<std::string, bool>>;
std::vector<std::string> unknownOrMissing(const std::string &fileName, const ConfigDocument &document, const RequiredKeys &keys);

// Joins faults, a line each, into the failure that the caller reports.
tl::unexpected<Error> faultsFound(const std::vector<std::string> &faults);
std::string faultText(const std::string &fileName, const std::string &section, const std::string &name, const std::string &value, const std::string &fault);

template <typename Settings>
Reader<Settings> address(std::function<std::string &(Settings &)> field)
{
    return [field](Settings &settings, const std::string &text) -> std::string {
        if (!isAddress(text)) {
            return "give an IP number such as 10.0.0.7";
        }
        field(settings) = text;
        return {};
    };
}

template <typename Settings>
Reader<Settings> endpoint(std::function<Endpoint &(Settings &)> field)
{
    return [field](Settings &settings, const std::string &text) -> std::string {
        const auto parsed = endpointOf(text);
        if (!parsed) {
            return "give IP:PORT such as 10.0.0.7:8080";
        }
        field(settings) = *parsed;
        return {};
    };
}

template <typename Settings>
Reader<Settings> port(std::function<std::uint16_t &(Settings &)> field)
{
    return [field](Settings &settings, const std::string &text) -> std::string {
        const auto number = wholeNumber(text, 1, 65535);
        if (!number) {
            return "give a port from 1 to 65535";
        }
        field(settings) = static_cast<std::uint16_t>(*number);
        return {};
    };
}

template <typename Settings>
Reader<Settings> duration(std::function<Milliseconds &(Settings &)> field, std::uint64_t most)
{
    return [field, most](Settings &settings, const std::string &text) -> std::string {
        const auto number = wholeNumber(text, 1, most);
        if (!number) {
            return "give milliseconds from 1 to " + std::to_string(most);
        }
        field(settings) = Milliseconds(*number);
        return {};
    };
}

// A time written in seconds, with fractions.
template <typename Settings>
Reader<Settings> seconds(std::function<Milliseconds &(Settings &)> field, double most)
{
    return [field, most](Settings &settings, const std::string &text) -> std::string {
        const auto number = decimalNumber(text, most);
        if (!number) {
            return "give seconds from 0 to " + std::to_string(most);
        }
        field(settings) = Milliseconds(static_cast<std::int64_t>(*number * 1000));
        return {};
    };
}

template <typename Settings>
Reader<Settings> fraction(std::function<double &(Settings &)> field, double most)
{
    return [field, most](Settings &settings, const std::string &text) -> std::string {
        const auto number = decimalNumber(text, most);
        if (!number) {
            return "give a number from 0 to " + std::to_string(most);
        }
        field(settings) = *number;
        return {};
    };
}

template <typename Settings>
Reader<Settings> count(std::function<std::uint32_t &(Settings &)> field, std::uint64_t least, std::uint64_t most)
{
    return [field, least, most](Settings &settings, const std::string &text) -> std::string {
        const auto number = wholeNumber(text, least, most);
        if (!number) {
            return "give a whole number from " + std::to_string(least) + " to " + std::to_string(most);
        }
        field(settings) = static_cast<std::uint32_t>(*number);
        return {};
    };
}

template <typename Settings>
Reader<Settings> text(std::function<void(Settings &, std::string)> store)
{
    return [store](Settings &settings, const std::string &value) -> std::string {
        if (!isPlainText(value)) {
            return "give up to 100 letters, digits, '-', '_', '.' and '/'";
        }
        store(settings, value);
        return {};
    };
}

// The text of a settings file. Invalid if it can't be read.
Result<std::string> readText(const std::string &path);

template <typename Settings>
Result<Settings> parse(const std::string &fileName, const std::string &text, const Keys<Settings> &keys)
{
    const auto document = ConfigDocument::parse({FileName(fileName), text});
    if (!document) {
        return tl::unexpected(document.error());
    }
    RequiredKeys required;
    for (const auto &[section, entries] : keys) {
        for (const auto &[name, key] : entries) {
            required[section][name] = key.required;
        }
    }
    auto faults = unknownOrMissing(fileName, *document, required);
    Settings settings;
    for (const auto &section : document->sections()) {
        const auto known = keys.find(section.name);
        for (const auto &[name, value] : section.entries) {
            const auto key = known == keys.end() ? typename std::map<std::string, Key<Settings>>::const_iterator() : known->second.find(name);
            if (known == keys.end() || key == known->second.end()) {
                continue;
            }
            if (const auto fault = key->second.read(settings, value); !fault.empty()) {
                faults.push_back(faultText(fileName, section.name, name, value, fault));
            }
        }
    }
    if (!faults.empty()) {
        return faultsFound(faults);
    }
    return settings;
}

// Reads the settings in a file.
template <typename Settings>
Result<Settings> readFile(const std::string &path)
{
    const auto text = readText(path);
    if (!text) {
        return tl::unexpected(text.error());
    }
    return Settings::parse(path.substr(path.rfind('/') + 1), *text);
}

}
