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

// Reads the settings of a program from an INI text by a table of known keys. All errors are
// collected, each naming section, key and remedy.
namespace Galenahill::SettingsReader {

// Stores a value in the settings; returns the error text, or an empty string.
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

std::optional<std::uint64_t> wholeNumber(const std::string &text, std::uint64_t min, std::uint64_t max);

// Parses "IP:PORT, IP:PORT"; an empty text is an empty list.
std::string readEndpoints(std::vector<Endpoint> &endpoints, const std::string &text);

// Whether the value is a plain name of up to 100 characters.
bool isPlainText(const std::string &value);
bool isLogLevel(const std::string &value);

// A decimal number from zero to the maximum.
std::optional<double> decimalNumber(const std::string &text, double max);

// Reports unknown sections and keys, and required keys that are missing. The table says by section
// and name whether a key is required.
using RequiredKeys = std::map<std::string, std::map<std::string, bool>>;
std::vector<std::string> unknownOrMissing(const std::string &fileName, const ConfigDocument &document, const RequiredKeys &keys);

// Joins errors, one per line, into the failure that the caller returns.
tl::unexpected<Error> settingsFailure(const std::vector<std::string> &errors);
std::string errorText(const std::string &fileName, const std::string &section, const std::string &name, const std::string &value, const std::string &error);

template <typename Settings>
Reader<Settings> address(std::function<std::string &(Settings &)> field)
{
    return [field](Settings &settings, const std::string &text) -> std::string {
        if (!isAddress(text)) {
            return "give an IP address such as 10.0.0.7";
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
Reader<Settings> duration(std::function<Milliseconds &(Settings &)> field, std::uint64_t max)
{
    return [field, max](Settings &settings, const std::string &text) -> std::string {
        const auto number = wholeNumber(text, 1, max);
        if (!number) {
            return "give milliseconds from 1 to " + std::to_string(max);
        }
        field(settings) = Milliseconds(*number);
        return {};
    };
}

// A duration written in seconds, with fractions.
template <typename Settings>
Reader<Settings> seconds(std::function<Milliseconds &(Settings &)> field, double max)
{
    return [field, max](Settings &settings, const std::string &text) -> std::string {
        const auto number = decimalNumber(text, max);
        if (!number) {
            return "give seconds from 0 to " + std::to_string(max);
        }
        field(settings) = Milliseconds(static_cast<std::int64_t>(*number * 1000));
        return {};
    };
}

template <typename Settings>
Reader<Settings> fraction(std::function<double &(Settings &)> field, double max)
{
    return [field, max](Settings &settings, const std::string &text) -> std::string {
        const auto number = decimalNumber(text, max);
        if (!number) {
            return "give a number from 0 to " + std::to_string(max);
        }
        field(settings) = *number;
        return {};
    };
}

template <typename Settings>
Reader<Settings> count(std::function<std::uint32_t &(Settings &)> field, std::uint64_t min, std::uint64_t max)
{
    return [field, min, max](Settings &settings, const std::string &text) -> std::string {
        const auto number = wholeNumber(text, min, max);
        if (!number) {
            return "give a whole number from " + std::to_string(min) + " to " + std::to_string(max);
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

// Reads the text of a settings file. Invalid if it can't be read.
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
    auto errors = unknownOrMissing(fileName, *document, required);
    Settings settings;
    for (const auto &section : document->sections()) {
        const auto known = keys.find(section.name);
        for (const auto &[name, value] : section.entries) {
            const auto key = known == keys.end() ? typename std::map<std::string, Key<Settings>>::const_iterator() : known->second.find(name);
            if (known == keys.end() || key == known->second.end()) {
                continue;
            }
            if (const auto error = key->second.read(settings, value); !error.empty()) {
                errors.push_back(errorText(fileName, section.name, name, value, error));
            }
        }
    }
    if (!errors.empty()) {
        return settingsFailure(errors);
    }
    return settings;
}

// Parses the settings in a file.
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
