#pragma once

#include "common/error.h"
#include "common/identifiers.h"

#include <exception>
#include <fmt/format.h>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace Galenahill {

// Fields of JSON documents that other programs write. A field that is missing or
// null gives the fallback; one of another type throws std::exception.

// A whole number that isn't negative; throws if it is missing, or has a fraction,
// which the library would cut.
std::uint64_t wholeNumber(const nlohmann::json &json, const char *name);

std::uint32_t countOr(const nlohmann::json &json, const char *name, std::uint32_t fallback);

// A time written in seconds, with fractions.
Milliseconds secondsOr(const nlohmann::json &json, const char *name, Milliseconds fallback);

// What the decoder gives; an error of that kind if it throws. The message has a {} for
// what was wrong.
template <typename Decoder>
auto decodeJson(ErrorKind kind, std::string_view message, Decoder decoder) -> Result<decltype(decoder())>
{
    try {
        return decoder();
    } catch (const std::exception &error) {
        return failure(kind, fmt::format(fmt::runtime(message), error.what()));
    }
}

}
