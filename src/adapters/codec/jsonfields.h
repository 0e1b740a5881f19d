#pragma once

#include "common/error.h"
#include "common/identifiers.h"

#include <exception>
#include <fmt/format.h>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace Galenahill {

// Reading fields of JSON documents that other programs write. A missing or null field gives the
// fallback; a field of the wrong type throws std::exception.

// A non-negative integer; throws if the field is missing or has a fraction, which the library would
// truncate.
std::uint64_t wholeNumber(const nlohmann::json &json, const char *name);

// A port or zero; throws if the field is missing or is out of range, which the library would truncate to another port.
std::uint16_t portAt(const nlohmann::json &json, const char *name);

std::uint32_t countOr(const nlohmann::json &json, const char *name, std::uint32_t fallback);

// A time in seconds, possibly with a fraction.
Milliseconds secondsOr(const nlohmann::json &json, const char *name, Milliseconds fallback);

double numberOr(const nlohmann::json &json, const char *name, double fallback);
bool flagOr(const nlohmann::json &json, const char *name, bool fallback);

// The number in a text that is the tag followed by a whole number, such as "r12"; throws if it is anything else.
std::uint64_t taggedNumber(const std::string &text, char tag);

// Text of an exception thrown while JSON was parsed or decoded. Malformed JSON is reported by its
// position alone: the library quotes the text there, which may be a customer's key.
std::string jsonErrorText(const std::exception &error);

// The decoder's result; if it throws, an error of that kind, with a message of the subject, the text of the exception and the
// advice. The subject may contain names that other programs chose.
template <typename Decoder>
auto decodeJson(ErrorKind kind, std::string_view subject, std::string_view advice, Decoder decoder) -> Result<decltype(decoder())>
{
    try {
        return decoder();
    } catch (const std::exception &error) {
        return failure(kind, fmt::format("{}: {}{}", subject, jsonErrorText(error), advice));
    }
}

}
