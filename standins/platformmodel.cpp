#include "platformmodel.h"

namespace Galenahill {

namespace {

constexpr const char *HeadKey = "config/head";

}

std::optional<PlatformModel::Object> PlatformModel::read(const std::string &key) const
{
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::uint64_t> PlatformModel::write(const std::string &key, std::string value, std::uint64_t expected)
{
    const auto found = m_objects.find(key);
    const auto present = found == m_objects.end() ? 0 : found->second.version;
    if (present != expected) {
        return std::nullopt;
    }
    if (key == HeadKey) {
        m_headHistory.push_back(value);
    }
    m_objects[key] = {std::move(value), ++m_lastVersion};
    return m_lastVersion;
}

bool PlatformModel::remove(const std::string &key, std::uint64_t expected)
{
    const auto found = m_objects.find(key);
    if (found == m_objects.end() || found->second.version != expected) {
        return false;
    }
    m_objects.erase(found);
    return true;
}

std::vector<std::string> PlatformModel::list(const std::string &prefix) const
{
    std::vector<std::string> keys;
    for (auto entry = m_objects.lower_bound(prefix); entry != m_objects.end() && entry->first.compare(0, prefix.size(), prefix) == 0; ++entry) {
        keys.push_back(entry->first);
    }
    return keys;
}

std::vector<std::string> PlatformModel::history(const std::string &key) const
{
    return key == HeadKey ? m_headHistory : std::vector<std::string>();
}

void PlatformModel::backUp()
{
    m_backup = m_objects;
}

void PlatformModel::restore()
{
    m_objects = m_backup;
    for (auto &[key, object] : m_objects) {
        object.version = ++m_lastVersion;
    }
}

}
