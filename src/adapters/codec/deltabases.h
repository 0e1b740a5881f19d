#pragma once

#include "common/error.h"
#include "common/identifiers.h"

#include <deque>
#include <optional>
#include <string>

namespace Galenahill {

// The last few texts as bases for deltas, compressed. Held as they are, a base
// of 1,600 routes takes a quarter of a megabyte, and as a whole revision with its
// snapshot nearly one; compressed it is a few per cent of that.
class DeltaBases
{
public:
    // Holds up to so many texts.
    explicit DeltaBases(std::size_t maxHeld);

    // Takes the text of that digest, and drops the oldest beyond the bound.
    void add(const ContentHash &digest, const std::string &text);

    // The text of that digest; nothing if it isn't held any more.
    std::optional<std::string> find(const ContentHash &digest) const;

    // Bytes that are held.
    std::size_t bytes() const;

private:
    struct Base
    {
        ContentHash digest;
        std::string compressed;
    };

    std::size_t m_maxHeld;
    // Newest first.
    std::deque<Base> m_bases;
};

}
