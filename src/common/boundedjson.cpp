#include "common/boundedjson.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace Galenahill {

nlohmann::json parseJson(std::string_view text)
{
    checkJsonDepth(text);
    return nlohmann::json::parse(text);
}

nlohmann::json parseJsonOrNull(std::string_view text)
{
    try {
        return parseJson(text);
    } catch (const std::exception &) {
        return nullptr;
    }
}

void checkJsonDepth(std::string_view text)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char character = text[i];
        if (inString) {
            i += character == '\\' ? 1 : 0;
            inString = character != '"';
        } else if (character == '"') {
            inString = true;
        } else if (character == '{' || character == '[') {
            if (++depth > MaxJsonDepth) {
                throw std::invalid_argument("JSON is nested more than " + std::to_string(MaxJsonDepth) + " levels deep; write it flatter");
            }
        } else if (character == '}' || character == ']') {
            depth -= depth > 0 ? 1 : 0;
        }
    }
}

}
