#pragma once

#include <string_view>

namespace Galenahill {

// Whether the bytes are well-formed UTF-8.
bool isUtf8(std::string_view text);

// Whether the text can be printed in an error message, a log or a listing on a terminal: one line
// of UTF-8 without control characters, not empty and at most that many bytes.
bool isPlainLine(std::string_view text, std::size_t maxBytes);

}
