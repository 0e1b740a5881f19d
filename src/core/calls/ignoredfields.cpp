#include "core/calls/ignoredfields.h"

#include <algorithm>
#include <cctype>

namespace Galenahill {

namespace {

// Bounds the memory that targets with arbitrary field names can use.
constexpr std::size_t MaxNames = 32;
constexpr std::size_t MaxNameBytes = 64;

std::string lowerCase(std::string_view name)
{
    std::string lower(name.substr(0, MaxNameBytes));
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char character) { return std::tolower(character); });
    return lower;
}

}

IgnoredFields::IgnoredFields(const std::vector<std::string> &read)
{
    for (const auto &name : read) {
        m_known.insert(lowerCase(name));
    }
}

bool IgnoredFields::isFirstSeen(std::string_view name)
{
    if (m_seen >= MaxNames || !m_known.insert(lowerCase(name)).second) {
        return false;
    }
    ++m_seen;
    return true;
}

}
