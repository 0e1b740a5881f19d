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

    // The value of a key, or null if the section lacks it.
    const std::string *find(const std::string &key) const;
};

// The sections of one INI text. Knows syntax only; what the sections mean is
// checked by the validator.
class ConfigDocument
{
public:
    // Reads the text. Refuses what isn't plain UTF-8 text, what is empty or
    // over-long, and duplicate sections or keys; the message names the line.
    static Result<ConfigDocument> parse(const ConfigFile &file);

    const std::vector<ConfigSection> &sections() const;

private:
    std::vector<ConfigSection> m_sections;
};

}
