#pragma once

#include <algorithm>
#include <cstdlib>
#include <string>

namespace Galenahill {

// The text, padded to the length that the query bytes=N of the request target asks for.
inline std::string responseBody(std::string text, const std::string &requestTarget)
{
    constexpr std::size_t MaxBytes = 4U << 20U;
    const std::string query = "?bytes=";
    const auto found = requestTarget.find(query);
    if (found != std::string::npos) {
        const std::size_t bytes = std::strtoul(requestTarget.c_str() + found + query.size(), nullptr, 10);
        text.resize(std::max(text.size(), std::min(bytes, MaxBytes)), 'x');
    }
    return text;
}

}
