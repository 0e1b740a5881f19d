#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace Galenahill {

// Parsing of JSON that other programs wrote. Text that is nested more than MaxJsonDepth levels deep is refused: the library
// copies, compares and writes a value by recursion, so a deep one would exhaust the stack.
inline constexpr std::size_t MaxJsonDepth = 64;

// Throws std::exception if the text isn't JSON, or is nested too deeply.
nlohmann::json parseJson(std::string_view text);

// The same, but returns null in these cases.
nlohmann::json parseJsonOrNull(std::string_view text);

// Throws std::invalid_argument if the text is nested too deeply. Doesn't check whether it is JSON.
void checkJsonDepth(std::string_view text);

}
