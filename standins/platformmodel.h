#pragma once

#include "common/identifiers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Galenahill {

// The objects of the platform stand-in by kind and name, and the history of their changes. All
// changes are versioned by one counter that never repeats a value.
class PlatformModel
{
public:
    struct Object
    {
        std::string kind;
        std::string name;
        // JSON text.
        std::string content;
        std::uint64_t version = 0;
        bool deleted = false;
        // Text of the complete object if another program than the nodes left it; empty otherwise.
        std::string raw = {};
    };

    // Version of the last change.
    std::uint64_t version() const;

    std::optional<Object> read(const std::string &kind, const std::string &name) const;

    // Creates the object; returns nothing if it exists.
    std::optional<Object> create(const std::string &kind, const std::string &name, std::string content);

    // Replaces the content if the object has the expected version; zero accepts any version. Writing
    // the same content again changes nothing. Returns nothing if the version differs or the object
    // doesn't exist.
    std::optional<Object> replace(const std::string &kind, const std::string &name, std::string content, std::uint64_t expected);
    bool remove(const std::string &kind, const std::string &name, std::uint64_t expected);

    // Creates or replaces an object by that text, which may be any.
    void putRaw(const std::string &kind, const std::string &name, std::string text);

    // Objects of the kind whose names sort after the given one, ordered by name.
    std::vector<Object> list(const std::string &kind, const std::string &after) const;

    // Changes to objects of the kind after the given version; nothing if the history no longer goes
    // back that far.
    std::optional<std::vector<Object>> changesAfter(const std::string &kind, std::uint64_t version) const;

    // Drops the history of all changes so far.
    void compactHistory();

    // All contents that the object ever had, including those dropped from the history.
    std::vector<std::string> contentsOf(const std::string &kind, const std::string &name) const;

    // Keeps a copy of all objects, and restores it as an operator's restore would: the contents are
    // older, but versions continue to grow.
    void backUp();
    void restore();

private:
    using Key = std::pair<std::string, std::string>;

    Object put(const Key &key, std::string content);

    std::map<Key, Object> m_objects;
    std::map<Key, Object> m_backup;
    // As on the platform, the counter starts above zero.
    std::uint64_t m_version = 1;
    std::uint64_t m_historyStart = 1;
    std::vector<Object> m_changes;
    std::map<Key, std::vector<std::string>> m_allContents;
};

}
