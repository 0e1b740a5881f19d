#include "core/config/configdocument.h"

#include "core/config/configlimits.h"
#include "core/config/configtext.h"

#include <algorithm>
#include <boost/algorithm/string/trim.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <fmt/format.h>
#include <set>
#include <sstream>

namespace Galenahill {

namespace {

// Describes the first line that isn't UTF-8 or is too long; empty if there is none.
std::string lineError(std::string_view text)
{
    for (int number = 1; !text.empty(); ++number) {
        const auto line = text.substr(0, text.find('\n'));
        if (line.size() > ConfigLimits::MaxLineBytes) {
            return fmt::format("line {}: has {} bytes, the limit is {}; shorten it", number, line.size(), ConfigLimits::MaxLineBytes);
        }
        if (!isUtf8(line)) {
            return fmt::format("line {}: not UTF-8; save the file as UTF-8", number);
        }
        text.remove_prefix(std::min(text.size(), line.size() + 1));
    }
    return {};
}

// Describes why the INI reader can't process the text; empty if it can.
std::string textError(const std::string &text)
{
    static const std::string byteOrderMark = "\xEF\xBB\xBF";
    if (text.empty() || std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isspace(c) != 0; })) {
        return "the file is empty; add at least one section, or remove the file with 'galenahillctl remove'";
    }
    if (text.size() > ConfigLimits::MaxFileBytes) {
        return fmt::format("the file has {} bytes, the limit is {}; split it", text.size(), ConfigLimits::MaxFileBytes);
    }
    if (text.compare(0, byteOrderMark.size(), byteOrderMark) == 0) {
        return "line 1: the file begins with a byte order mark; save it as UTF-8 without one";
    }
    const auto line = [&](std::size_t position) { return 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(position), '\n'); };
    if (const auto position = text.find('\r'); position != std::string::npos) {
        return fmt::format("line {}: carriage return found; save the file with Unix line endings", line(position));
    }
    const auto control = std::find_if(text.begin(), text.end(), [](unsigned char c) { return (c < 0x20 && c != '\n' && c != '\t') || c == 0x7f; });
    if (control != text.end()) {
        return fmt::format("line {}: binary byte found; a configuration file is plain text", line(static_cast<std::size_t>(control - text.begin())));
    }
    return lineError(text);
}

// The INI reader silently drops a section without keys and any text after the closing bracket of a
// section header. The operator would see the file accepted although the section or setting isn't in
// force, so the headers are checked here.
std::string headerError(const std::string &text, const std::vector<ConfigSection> &sections)
{
    std::set<std::string> nonEmpty;
    for (const auto &section : sections) {
        nonEmpty.insert(section.name);
    }
    std::istringstream stream(text);
    std::string line;
    for (int number = 1; std::getline(stream, line); ++number) {
        boost::trim(line);
        const auto close = line.find(']');
        if (line.empty() || line.front() != '[' || close == std::string::npos) {
            continue;
        }
        const auto name = boost::trim_copy(line.substr(1, close - 1));
        if (close + 1 != line.size()) {
            return fmt::format("line {}: text after [{}]; move it to a separate line", number, name);
        }
        if (nonEmpty.count(name) == 0) {
            return fmt::format("line {}: [{}] has no keys; add keys or remove the section", number, name);
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
    if (const auto reason = textError(file.text); !reason.empty()) {
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
                ErrorKind::Invalid, fmt::format("{}: key \"{}\" precedes the first section; move it below a [section] line", file.name.value(), name));
        }
        ConfigSection section{name, {}};
        for (const auto &[key, value] : content) {
            section.entries.emplace_back(key, value.data());
        }
        document.m_sections.push_back(std::move(section));
    }
    if (document.m_sections.empty() && file.text.find('[') == std::string::npos) {
        return failure(ErrorKind::Invalid,
            fmt::format("{}: the file contains only comments; add at least one section, or remove the file with 'galenahillctl remove'", file.name.value()));
    }
    if (const auto reason = headerError(file.text, document.m_sections); !reason.empty()) {
        return failure(ErrorKind::Invalid, fmt::format("{}: {}", file.name.value(), reason));
    }
    return document;
}

const std::vector<ConfigSection> &ConfigDocument::sections() const
{
    return m_sections;
}

}
