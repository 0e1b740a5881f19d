#pragma once

#include <boost/algorithm/string/replace.hpp>
#include <fstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace Galenahill {

// Reads the first lines of a sample file, a message template with placeholders in braces. Throws if
// the file has fewer lines.
inline std::vector<std::string> readSample(const std::string &file, std::size_t lines)
{
    std::ifstream stream(file);
    std::vector<std::string> result(lines);
    for (auto &line : result) {
        if (!std::getline(stream, line)) {
            throw std::runtime_error(file + ": the sample file has too few lines");
        }
    }
    return result;
}

// Returns the text with the placeholders replaced by the values.
inline std::string fillPlaceholders(std::string text, const std::vector<std::pair<std::string, std::string>> &values)
{
    for (const auto &[name, value] : values) {
        boost::replace_all(text, "{" + name + "}", value);
    }
    return text;
}

}
