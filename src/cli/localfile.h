#pragma once

#include "common/error.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Galenahill {

struct CommandOptions;

// The whole text of a local file; Invalid if it can't be read.
Result<std::string> readFile(const std::string &path);

// The name in the configuration of the file that the command line gives: what
// --name says, else the base name.
std::string fileNameOf(const CommandOptions &options);

// The number if the text is a whole number and nothing else.
std::optional<std::uint64_t> wholeNumber(const std::string &text);

}
