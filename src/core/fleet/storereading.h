#pragma once

#include "common/identifiers.h"

#include <cstdint>

namespace Galenahill {

// What a member read from the store, as it is sent to other members: at that time, the store held no configuration above
// the revision.
struct StoreReading
{
    Revision revision;
    // The store's version at that time.
    ObjectVersion version;
    // The member that read it, and the time since, in milliseconds.
    NodeName reader;
    std::uint32_t ageMs = 0;
};

template <typename Inspector>
auto inspect(Inspector &inspector, StoreReading &reading)
{
    return inspector(reading.revision, reading.version, reading.reader, reading.ageMs);
}

}
