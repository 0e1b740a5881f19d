#include "cli/localfile.h"

#include "cli/commands.h"

#include <charconv>
#include <fstream>
#include <sstream>

namespace Galenahill {

Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    // A folder can be opened like a file; only reading from it fails.
    if (!file || file.peek() == std::ifstream::traits_type::eof()) {
        const bool isEmpty = file.is_open() && file.eof() && !file.bad();
        return isEmpty ? Result<std::string>(std::string()) : failure(ErrorKind::Invalid, path + ": can't be read; give the path of a configuration file");
    }
    text << file.rdbuf();
    return text.str();
}

std::string configFileName(const CommandOptions &options)
{
    const auto &path = options.arguments.front();
    return options.name.empty() ? path.substr(path.rfind('/') + 1) : options.name;
}

std::optional<std::uint64_t> parseWholeNumber(const std::string &text)
{
    std::uint64_t value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(value) : std::nullopt;
}

}
