#pragma once

#include "common/error.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace Galenahill {

// A JSON text with some of its values taken out.
struct SplicedJson
{
    // What is left; in the place of each value stands its index in `parts`.
    std::string rest;
    std::vector<std::string> parts;
};

// Takes the tables that stand under that key out of a JSON text, as they are
// written there. A text of several hundred kilobytes that is only passed on
// needn't become a tree, which takes eight times its size at a node's peak.
//
// Errors: Corrupt if the text isn't JSON.
Result<SplicedJson> spliceOut(const std::string &text, std::string_view key);

// The same, with what is left as a tree.
struct SplicedDocument
{
    nlohmann::json json;
    std::vector<std::string> parts;
};

// Throws std::exception if the text isn't JSON.
SplicedDocument parseSpliced(const std::string &text, std::string_view key);

}
