#pragma once

#include "common/identifiers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Galenahill {

// Objects of the platform stand-in by kind and name, and the changes to them, under
// one counter that never repeats a value.
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
    };

    // The counter's value at the last change.
    std::uint64_t version() const;

    std::optional<Object> read(const std::string &kind, const std::string &name) const;

    // Creates the object; nothing if there is one.
    std::optional<Object> create(const std::string &kind, const std::string &name, std::string content);

    // Replaces the content if the object has that version; zero: whatever it has.
    // The same content again changes nothing. Nothing if the version differs, or
    // there is no object.
    std::optional<Object> replace(const std::string &kind, const std::string &name, std::string content, std::uint64_t expected);
    bool remove(const std::string &kind, const std::string &name, std::uint64_t expected);

    // The kind's objects behind that name, in the order of their names.
    std::vector<Object> list(const std::string &kind, const std::string &after) const;

    // The kind's changes after that version; nothing if they aren't known any more.
    std::optional<std::vector<Object>> changesAfter(const std::string &kind, std::uint64_t version) const;

    // Drops all changes so far.
    void forgetHistory();

    // Every content that the object had, whatever was forgotten.
    std::vector<std::string> contentsOf(const std::string &kind, const std::string &name) const;

    // Keeps a copy of all objects, and puts the copy back as an operator's
    // restore would: contents are older, versions go on growing.
    void backUp();
    void restore();

private:
    using Key = std::pair<std::string, std::string>;

    Object put(const Key &key, std::string content);

    std::map<Key, Object> m_objects;
    std::map<Key, Object> m_backup;
    // As on the platform, the counter starts above zero.
    std::uint64_t m_version = 1;
    std::uint64_t m_knownFrom = 1;
    std::vector<Object> m_changes;
    std::map<Key, std::vector<std::string>> m_contents;
};

}
