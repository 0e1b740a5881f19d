#include "core/configdocument.h"

#include "core/configlimits.h"

#include <algorithm>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <fmt/format.h>
#include <sstream>

namespace Galenahill {

namespace {

// Says what makes the text unfit for the INI reader, or gives nothing.
std::string unfitText(const std::string &text)
{
    static const std::string byteOrderMark = "\xEF\xBB\xBF";
    if (text.empty() || std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isspace(c) != 0; })) {
        return "the file is empty; give at least one section, or use 'galenahillctl remove' to withdraw it";
    }
    if (text.size() > ConfigLimits::MaxFileBytes) {
        return fmt::format("the file has {} bytes, at most {} are taken; split it", text.size(), ConfigLimits::MaxFileBytes);
    }
    if (text.compare(0, byteOrderMark.size(), byteOrderMark) == 0) {
        return "line 1: the file begins with a byte order mark; save it as UTF-8 without one";
    }
    const auto line = [&](std::size_t position) { return 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(position), '\n'); };
    if (const auto position = text.find('\r'); position != std::string::npos) {
        return fmt::format("line {}: carriage return found; save the file with Unix line ends", line(position));
    }
    const auto control = std::find_if(text.begin(), text.end(), [](unsigned char c) { return c < 0x20 && c != '\n' && c != '\t'; });
    if (control != text.end()) {
        return fmt::format("line {}: binary byte found; a configuration file is plain text", line(static_cast<std::size_t>(control - text.begin())));
    }
    return {};
}

// The INI reader drops a section without keys silently. An operator who left
// the keys out would see the file accepted and the section not in force, so
// the headers are counted against the sections read.
std::string emptySection(const std::string &text, const std::vector<ConfigSection> &sections)
{
    std::istringstream stream(text);
    std::string lineText;
    int number = 0;
    while (std::getline(stream, lineText)) {
        ++number;
        const auto open = lineText.find_first_not_of(" \t");
        const auto close = lineText.find(']');
        if (open == std::string::npos || lineText[open] != '[' || close == std::string::npos) {
            continue;
        }
        const auto name = lineText.substr(open + 1, close - open - 1);
        const auto matches = [&](const ConfigSection &section) { return name.find(section.name) != std::string::npos; };
        if (std::none_of(sections.begin(), sections.end(), matches)) {
            return fmt::format("line {}: [{}] has no keys; fill it or remove the section", number, name);
        }
    }
    return {};
}

}

const std::string *ConfigSection::find(const std::string &key) const
{
    const auto found = std::find_if(entries.begin(), entries.end(), [&](const auto &entry) { return entry.first == key; });
    return found == entries.end() ? nullptr : &found->second;
}

Result<ConfigDocument> ConfigDocument::parse(const ConfigFile &file)
{
    namespace ptree = boost::property_tree;
    if (const auto reason = unfitText(file.text); !reason.empty()) {
        return failure(ErrorKind::Invalid, fmt::format("{}: {}", file.name.value(), reason));
    }
    ptree::ptree tree;
    try {
        std::istringstream stream(file.text);
        ptree::read_ini(stream, tree);
    } catch (const ptree::ini_parser_error &error) {
        return failure(ErrorKind::Invalid,
            fmt::format("{}: line {}: {}; write each setting as 'key = value' once, under one [section]", file.name.value(), error.line(), error.message()));
    }
    ConfigDocument document;
    for (const auto &[name, content] : tree) {
        if (!content.data().empty() || content.empty()) {
            return failure(
                ErrorKind::Invalid, fmt::format("{}: key \"{}\" stands before any section; move it below a [section] line", file.name.value(), name));
        }
        ConfigSection section{name, {}};
        for (const auto &[key, value] : content) {
            section.entries.emplace_back(key, value.data());
        }
        document.m_sections.push_back(std::move(section));
    }
    if (const auto reason = emptySection(file.text, document.m_sections); !reason.empty()) {
        return failure(ErrorKind::Invalid, fmt::format("{}: {}", file.name.value(), reason));
    }
    return document;
}

const std::vector<ConfigSection> &ConfigDocument::sections() const
{
    return m_sections;
}

}
