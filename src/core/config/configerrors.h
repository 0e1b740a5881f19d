#pragma once

#include "common/identifiers.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Galenahill {

// The errors found in a configuration. Lists the first ones and counts the others.
class ConfigErrors
{
public:
    // Adds an error about a section of a file; the file is empty if the section is not from a file.
    void add(const FileName &file, const std::string &section, const std::string &text);
    void add(std::string text);

    bool empty() const;

    // Whether further errors are only counted, so that no time need be spent on their text.
    bool full() const;

    // One line per error.
    std::string message() const;

private:
    std::vector<std::string> m_listed;
    std::size_t m_count = 0;
};

}
