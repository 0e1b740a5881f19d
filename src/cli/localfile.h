#pragma once

#include "common/error.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Galenahill {

struct CommandOptions;

// Returns the text of a local file; fails with Invalid if it can't be read.
Result<std::string> readFile(const std::string &path);

// Returns the name that the file on the command line has in the configuration: the value of --name,
// else the file's base name.
std::string configFileName(const CommandOptions &options);

// Returns the number if the text consists of decimal digits only and the number fits, else nothing.
std::optional<std::uint64_t> parseWholeNumber(const std::string &text);

}
