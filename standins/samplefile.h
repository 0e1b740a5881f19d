#pragma once

#include <boost/algorithm/string/replace.hpp>
#include <fstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace Galenahill {

// The lines of a file that shows what is sent, with names in braces where values
// go. Throws if it hasn't so many.
inline std::vector<std::string> readSample(const std::string &file, std::size_t lines)
{
    std::ifstream stream(file);
    std::vector<std::string> result(lines);
    for (auto &line : result) {
        if (!std::getline(stream, line)) {
            throw std::runtime_error(file + ": has too few lines");
        }
    }
    return result;
}

// A line with the values in.
inline std::string filled(std::string text, const std::vector<std::pair<std::string, std::string>> &values)
{
    for (const auto &[name, value] : values) {
        boost::replace_all(text, "{" + name + "}", value);
    }
    return text;
}

}
