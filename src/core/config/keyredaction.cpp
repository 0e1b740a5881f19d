#include "core/config/keyredaction.h"

#include "core/customers/keydigest.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <fmt/format.h>

namespace Galenahill {

namespace {

constexpr std::string_view PlaceholderBegin = "<key ";
constexpr std::string_view PlaceholderEnd = ">";
constexpr std::size_t FingerprintDigits = 8;

// Appends the item of a list and keeps the blanks around it.
void appendItem(std::string &result, std::string_view item)
{
    const auto begin = item.find_first_not_of(" \t\r");
    if (begin == std::string_view::npos) {
        result += item;
        return;
    }
    const auto end = item.find_last_not_of(" \t\r") + 1;
    const auto key = item.substr(begin, end - begin);
    result += item.substr(0, begin);
    result += isKeyPlaceholder(key) ? std::string(key) : keyPlaceholder(key);
    result += item.substr(end);
}

void appendList(std::string &result, std::string_view list)
{
    for (auto comma = list.find(','); comma != std::string_view::npos; comma = list.find(',')) {
        appendItem(result, list.substr(0, comma));
        result += ',';
        list.remove_prefix(comma + 1);
    }
    appendItem(result, list);
}

void appendLine(std::string &result, std::string_view line)
{
    const auto equals = line.find('=');
    const auto setting = boost::algorithm::trim_copy_if(
        std::string(line.substr(0, equals)), [](char c) { return c == ';' || c == '#' || std::isspace(static_cast<unsigned char>(c)) != 0; });
    if (equals == std::string_view::npos || !boost::algorithm::iequals(setting, "api-keys")) {
        result += line;
        return;
    }
    result += line.substr(0, equals + 1);
    appendList(result, line.substr(equals + 1));
}

}

std::string redactKeys(std::string_view text)
{
    std::string result;
    result.reserve(text.size());
    for (auto end = text.find('\n'); end != std::string_view::npos; end = text.find('\n')) {
        appendLine(result, text.substr(0, end));
        result += '\n';
        text.remove_prefix(end + 1);
    }
    appendLine(result, text);
    return result;
}

std::string keyPlaceholder(std::string_view key)
{
    return fmt::format("{}{}{}", PlaceholderBegin, formatFingerprint(KeyDigest(key).fingerprint()), PlaceholderEnd);
}

bool isKeyPlaceholder(std::string_view text)
{
    if (text.size() != PlaceholderBegin.size() + FingerprintDigits + PlaceholderEnd.size() || !text.starts_with(PlaceholderBegin)
        || !text.ends_with(PlaceholderEnd)) {
        return false;
    }
    const auto digits = text.substr(PlaceholderBegin.size(), FingerprintDigits);
    return std::all_of(digits.begin(), digits.end(), [](unsigned char c) { return std::isxdigit(c) != 0; });
}

}
