#include "platformmodel.h"

namespace Galenahill {

std::uint64_t PlatformModel::version() const
{
    return m_version;
}

std::optional<PlatformModel::Object> PlatformModel::read(const std::string &kind, const std::string &name) const
{
    const auto found = m_objects.find({kind, name});
    return found == m_objects.end() ? std::nullopt : std::optional(found->second);
}

PlatformModel::Object PlatformModel::put(const Key &key, std::string content)
{
    m_allContents[key].push_back(content);
    const Object object{key.first, key.second, std::move(content), ++m_version};
    m_objects[key] = object;
    m_changes.push_back(object);
    return object;
}

std::optional<PlatformModel::Object> PlatformModel::create(const std::string &kind, const std::string &name, std::string content)
{
    if (read(kind, name)) {
        return std::nullopt;
    }
    return put({kind, name}, std::move(content));
}

std::optional<PlatformModel::Object> PlatformModel::replace(const std::string &kind, const std::string &name, std::string content, std::uint64_t expected)
{
    const auto current = read(kind, name);
    if (!current || (expected != 0 && current->version != expected)) {
        return std::nullopt;
    }
    return current->content == content ? current : put({kind, name}, std::move(content));
}

bool PlatformModel::remove(const std::string &kind, const std::string &name, std::uint64_t expected)
{
    const auto current = read(kind, name);
    if (!current || (expected != 0 && current->version != expected)) {
        return false;
    }
    m_objects.erase({kind, name});
    m_changes.push_back({kind, name, {}, ++m_version, true});
    return true;
}

void PlatformModel::putRaw(const std::string &kind, const std::string &name, std::string text)
{
    const Object object{.kind = kind, .name = name, .version = ++m_version, .raw = std::move(text)};
    m_objects[{kind, name}] = object;
    m_changes.push_back(object);
}

std::vector<PlatformModel::Object> PlatformModel::list(const std::string &kind, const std::string &after) const
{
    std::vector<Object> objects;
    for (auto entry = m_objects.upper_bound({kind, after}); entry != m_objects.end() && entry->first.first == kind; ++entry) {
        objects.push_back(entry->second);
    }
    return objects;
}

std::optional<std::vector<PlatformModel::Object>> PlatformModel::changesAfter(const std::string &kind, std::uint64_t version) const
{
    if (version < m_historyStart) {
        return std::nullopt;
    }
    std::vector<Object> changes;
    for (const auto &change : m_changes) {
        if (change.kind == kind && change.version > version) {
            changes.push_back(change);
        }
    }
    return changes;
}

void PlatformModel::compactHistory()
{
    m_changes.clear();
    m_historyStart = m_version;
}

std::vector<std::string> PlatformModel::contentsOf(const std::string &kind, const std::string &name) const
{
    const auto found = m_allContents.find({kind, name});
    return found == m_allContents.end() ? std::vector<std::string>() : found->second;
}

void PlatformModel::backUp()
{
    m_backup = m_objects;
}

void PlatformModel::restore()
{
    m_objects = m_backup;
    for (auto &[key, object] : m_objects) {
        object.version = ++m_version;
        m_changes.push_back(object);
    }
}

}
