#pragma once

#include "common/error.h"
#include "core/config/configfile.h"

#include <string>
#include <utility>
#include <vector>

namespace Galenahill {

// One section of an INI file with its keys in file order.
struct ConfigSection
{
    std::string name;
    std::vector<std::pair<std::string, std::string>> entries;

    // The value of a key, or null if the section doesn't have it.
    const std::string *find(const std::string &key) const;
};

// The sections of one INI text. Checks the syntax only; the validator checks what the sections
// mean.
class ConfigDocument
{
public:
    // Parses the text. Rejects text that is empty, too long or not plain UTF-8, and duplicate
    // sections or keys; the error names the line.
    static Result<ConfigDocument> parse(const ConfigFile &file);

    const std::vector<ConfigSection> &sections() const;

private:
    std::vector<ConfigSection> m_sections;
};

}
