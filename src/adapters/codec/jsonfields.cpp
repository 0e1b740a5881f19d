#include "adapters/codec/jsonfields.h"

#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Galenahill {

namespace {

constexpr double MillisecondsPerSecond = 1000;

// The library's id of the exception for a number that it cannot represent.
constexpr int NumberOutOfRange = 406;

const nlohmann::json *fieldOf(const nlohmann::json &json, const char *name)
{
    const auto found = json.find(name);
    return found == json.end() || found->is_null() ? nullptr : &*found;
}

}

std::uint64_t wholeNumber(const nlohmann::json &json, const char *name)
{
    const auto &value = json.at(name);
    if (!value.is_number_unsigned()) {
        throw std::invalid_argument(fmt::format("{} is not a whole number", name));
    }
    return value.get<std::uint64_t>();
}

std::uint16_t portAt(const nlohmann::json &json, const char *name)
{
    const auto port = wholeNumber(json, name);
    if (port > std::numeric_limits<std::uint16_t>::max()) {
        throw std::invalid_argument(fmt::format("{} is out of range", name));
    }
    return static_cast<std::uint16_t>(port);
}

std::uint32_t countOr(const nlohmann::json &json, const char *name, std::uint32_t fallback)
{
    const auto *field = fieldOf(json, name);
    return field == nullptr ? fallback : field->get<std::uint32_t>();
}

Milliseconds secondsOr(const nlohmann::json &json, const char *name, Milliseconds fallback)
{
    const auto *field = fieldOf(json, name);
    return field == nullptr ? fallback : Milliseconds(std::llround(field->get<double>() * MillisecondsPerSecond));
}

double numberOr(const nlohmann::json &json, const char *name, double fallback)
{
    const auto *field = fieldOf(json, name);
    return field == nullptr ? fallback : field->get<double>();
}

bool flagOr(const nlohmann::json &json, const char *name, bool fallback)
{
    const auto *field = fieldOf(json, name);
    return field == nullptr ? fallback : field->get<bool>();
}

std::string jsonErrorText(const std::exception &error)
{
    if (const auto *malformed = dynamic_cast<const nlohmann::json::parse_error *>(&error)) {
        return fmt::format("malformed JSON at byte {}", malformed->byte);
    }
    // A number that is out of range is quoted as well.
    const auto *outOfRange = dynamic_cast<const nlohmann::json::out_of_range *>(&error);
    return outOfRange != nullptr && outOfRange->id == NumberOutOfRange ? "a number is out of range" : error.what();
}

std::uint64_t taggedNumber(const std::string &text, char tag)
{
    std::uint64_t number = 0;
    const auto *end = text.data() + text.size();
    const bool tagged = text.size() > 1 && text.front() == tag;
    const auto parsed = tagged ? std::from_chars(text.data() + 1, end, number) : std::from_chars_result{};
    if (!tagged || parsed.ec != std::errc() || parsed.ptr != end) {
        throw std::invalid_argument(fmt::format("\"{}\" is not \"{}\" followed by a number", text, tag));
    }
    return number;
}

}
