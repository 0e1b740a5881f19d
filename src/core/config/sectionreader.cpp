#include "core/config/sectionreader.h"

#include "core/config/configlimits.h"
#include "core/config/nearestname.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <charconv>
#include <cmath>
#include <fmt/format.h>

namespace Galenahill {

SectionReader::SectionReader(const FileName &file, const ConfigSection &section, ConfigErrors &errors)
    : m_file(file)
    , m_section(section)
    , m_errors(errors)
{
}

const FileName &SectionReader::file() const
{
    return m_file;
}

std::string SectionReader::name() const
{
    const auto space = m_section.name.find(' ');
    return space == std::string::npos ? std::string() : boost::trim_copy(m_section.name.substr(space));
}

const std::string *SectionReader::find(const std::string &key) const
{
    return m_section.find(key);
}

std::vector<std::string> SectionReader::unknownKeys(const std::vector<std::string> &known) const
{
    std::vector<std::string> unknown;
    for (const auto &[key, value] : m_section.entries) {
        if (std::find(known.begin(), known.end(), key) == known.end()) {
            unknown.push_back(key);
        }
    }
    return unknown;
}

void SectionReader::checkKeys(const std::vector<std::string> &known)
{
    for (const auto &key : unknownKeys(known)) {
        addError(fmt::format("{}: no such key{}; the keys are {}", key, suggestion(key, known), fmt::join(known, ", ")));
    }
}

std::uint64_t SectionReader::number(const std::string &key, std::uint64_t min, std::uint64_t max, std::uint64_t fallback)
{
    const auto *value = find(key);
    if (value == nullptr) {
        return fallback;
    }
    std::uint64_t result = 0;
    const auto *end = value->data() + value->size();
    const auto parsed = std::from_chars(value->data(), end, result);
    if (parsed.ec != std::errc() || parsed.ptr != end || result < min || result > max) {
        addError(fmt::format("{} = {}: give a whole number from {} to {}, alone on the line", key, *value, min, max));
        return fallback;
    }
    return result;
}

double SectionReader::percentage(const std::string &key)
{
    const auto *value = find(key);
    if (value == nullptr) {
        return 0;
    }
    double result = 0;
    const auto *end = value->data() + value->size();
    const auto parsed = std::from_chars(value->data(), end, result);
    if (parsed.ec != std::errc() || parsed.ptr != end || !(result >= 1 && result < 100)) {
        addError(fmt::format("{} = {}: give a percentage from 1 to below 100, such as 99.9", key, *value));
        return 0;
    }
    return result;
}

std::optional<double> SectionReader::decimal(const std::string &key)
{
    const auto *value = find(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    double result = 0;
    const auto *end = value->data() + value->size();
    const auto parsed = std::from_chars(value->data(), end, result);
    if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(result)) {
        addError(fmt::format("{} = {}: give a number such as 12.5, alone on the line", key, *value));
        return std::nullopt;
    }
    return result;
}

bool SectionReader::flag(const std::string &key, const std::string &meaning)
{
    const auto *value = find(key);
    if (value != nullptr && *value != "yes" && *value != "no") {
        addError(fmt::format("{} = {}: write yes if {}, else no", key, *value, meaning));
    }
    return value != nullptr && *value == "yes";
}

void SectionReader::addError(const std::string &text)
{
    m_errors.add(m_file, m_section.name, text);
}

std::vector<std::string> listItems(const std::string &value)
{
    std::vector<std::string> items;
    boost::split(items, value, boost::is_any_of(","));
    for (auto &item : items) {
        boost::trim(item);
    }
    return items;
}

bool isName(const std::string &text)
{
    const auto allowed = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= ConfigLimits::MaxFileNameLength && std::all_of(text.begin(), text.end(), allowed);
}

}
