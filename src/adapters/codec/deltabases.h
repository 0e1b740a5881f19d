#pragma once

#include "common/error.h"
#include "common/identifiers.h"

#include <deque>
#include <optional>
#include <string>

namespace Galenahill {

// The most recent texts, stored compressed as bases for deltas. Uncompressed, the text of 1,600
// routes takes a quarter of a megabyte, and its revision with the parsed snapshot nearly one;
// compressed, it takes a few per cent of that.
class DeltaBases
{
public:
    explicit DeltaBases(std::size_t maxTexts);

    // Adds the text with that digest, and removes the oldest one beyond the limit.
    void add(const ContentHash &digest, const std::string &text);

    // The text with that digest; nothing if it isn't stored any more.
    std::optional<std::string> find(const ContentHash &digest) const;

    // Memory used by the compressed texts.
    std::size_t bytes() const;

private:
    struct Base
    {
        ContentHash digest;
        std::string compressed;
    };

    std::size_t m_maxTexts;
    // Newest first.
    std::deque<Base> m_bases;
};

}
