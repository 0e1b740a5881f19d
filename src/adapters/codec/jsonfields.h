#pragma once

#include "common/identifiers.h"

#include <nlohmann/json_fwd.hpp>

namespace Galenahill {

// Fields of JSON documents that other programs write. A field that is missing or
// null gives the fallback; one of another type throws std::exception.

// A whole number that isn't negative; throws if it is missing, or has a fraction,
// which the library would cut.
std::uint64_t wholeNumber(const nlohmann::json &json, const char *name);

std::uint32_t countOr(const nlohmann::json &json, const char *name, std::uint32_t fallback);

// A time written in seconds, with fractions.
Milliseconds secondsOr(const nlohmann::json &json, const char *name, Milliseconds fallback);

}
