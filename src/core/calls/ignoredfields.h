#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Galenahill {

// Finds the header fields of responses that no module reads, each of them once.
class IgnoredFields
{
public:
    // Names of the fields that are read, in any case.
    explicit IgnoredFields(const std::vector<std::string> &read);

    // Whether the field is not read and has not been seen before. After a maximum number of
    // distinct names it returns false for all further ones.
    bool isFirstSeen(std::string_view name);

private:
    std::set<std::string> m_known;
    std::size_t m_seen = 0;
};

}
