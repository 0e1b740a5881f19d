#pragma once

#include "core/config/configdocument.h"
#include "core/config/configerrors.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Galenahill {

// Reads the values of one section. Errors name the file, the section and the key.
class SectionReader
{
public:
    // Keeps references to the arguments.
    SectionReader(const FileName &file, const ConfigSection &section, ConfigErrors &errors);

    const FileName &file() const;

    // The name in "[service NAME]"; empty if there is none.
    std::string name() const;

    // The value of a key, or null if the section doesn't have it.
    const std::string *find(const std::string &key) const;

    // The keys of the section that are not among the known ones.
    std::vector<std::string> unknownKeys(const std::vector<std::string> &known) const;

    // Reports the keys that are not among the known ones.
    void checkKeys(const std::vector<std::string> &known);

    std::uint64_t number(const std::string &key, std::uint64_t min, std::uint64_t max, std::uint64_t fallback);

    // A decimal number; unset if the section doesn't have the key or the value is no finite number.
    std::optional<double> decimal(const std::string &key);

    // Zero if the section doesn't have the key.
    double percentage(const std::string &key);

    // Whether the value is yes; false if the section doesn't have the key. `meaning` completes the
    // advice "write yes if ..., else no".
    bool flag(const std::string &key, const std::string &meaning);

    void addError(const std::string &text);

private:
    const FileName &m_file;
    const ConfigSection &m_section;
    ConfigErrors &m_errors;
};

// Splits a comma-separated list and trims blanks; an empty item is kept so that a stray comma is
// reported.
std::vector<std::string> listItems(const std::string &value);

// Whether the text is a valid name of a file, section, data centre or host.
bool isName(const std::string &text);

}
