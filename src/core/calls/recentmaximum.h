#pragma once

#include "common/identifiers.h"

#include <cstddef>
#include <deque>

namespace Galenahill {

// The largest value of a quantity within a time.
class RecentMaximum
{
public:
    explicit RecentMaximum(Milliseconds memory);

    // The quantity has this value from now on.
    void set(std::size_t value, TimePoint now);

    // The largest value that it had within the time before now; zero before the first one.
    std::size_t value(TimePoint now) const;

private:
    struct Entry
    {
        std::size_t value = 0;
        // When the quantity last had this value; for the last entry it still has.
        TimePoint until;
    };

    Milliseconds m_memory;
    // Falling values, each held later than the ones before.
    std::deque<Entry> m_entries;
};

}
