#pragma once

#include <string_view>

namespace Galenahill {

// Whether the bytes are well-formed UTF-8.
bool isUtf8(std::string_view text);

// Whether the text is fit to stand in an error message, a log or a listing on
// a terminal: UTF-8 of one line without control characters, not empty and of
// at most that many bytes.
bool isPlainLine(std::string_view text, std::size_t most);

}
