#pragma once

#include "common/error.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace Galenahill {

inline constexpr const char *PartField = "part";

// A JSON text with some of its values extracted.
struct SplicedJson
{
    // The remaining text. In place of each extracted value it has an object, whose only field PartField is the index into
    // `parts`.
    std::string rest;
    std::vector<std::string> parts;
};

// Extracts the objects under that key from a JSON text, verbatim. A text of several hundred
// kilobytes that is only passed on thus needn't be parsed into a tree, which takes eight times its
// size at a node's peak.
//
// Errors: Corrupt if the text isn't JSON.
Result<SplicedJson> spliceOut(const std::string &text, std::string_view key);

// The same, with the remaining text parsed.
struct SplicedDocument
{
    nlohmann::json json;
    std::vector<std::string> parts;
};

// Throws std::exception if the text isn't JSON.
SplicedDocument parseSpliced(const std::string &text, std::string_view key);

}
