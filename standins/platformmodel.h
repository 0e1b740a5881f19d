#pragma once

#include "common/identifiers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Galenahill {

// Objects of the platform stand-in, with a version each that never repeats.
class PlatformModel
{
public:
    struct Object
    {
        std::string value;
        std::uint64_t version = 0;
    };

    std::optional<Object> read(const std::string &key) const;

    // Writes if the version matches; zero: the object must not exist.
    std::optional<std::uint64_t> write(const std::string &key, std::string value, std::uint64_t expected);
    bool remove(const std::string &key, std::uint64_t expected);
    std::vector<std::string> list(const std::string &prefix) const;

    // Every value that was written to the key, in order, if it is one whose
    // history is kept.
    std::vector<std::string> history(const std::string &key) const;

    // Keeps a copy of all objects, and puts the copy back as an operator's
    // restore would: contents are older, versions go on growing.
    void backUp();
    void restore();

private:
    std::map<std::string, Object> m_objects;
    std::map<std::string, Object> m_backup;
    std::uint64_t m_lastVersion = 0;
    // Of the one object whose every value matters; blobs never change.
    std::vector<std::string> m_headHistory;
};

}
