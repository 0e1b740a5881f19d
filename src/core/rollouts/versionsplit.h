#pragma once

#include "core/rollouts/rolloutrecord.h"

#include <cstdint>
#include <random>
#include <unordered_map>

namespace Galenahill {

// Decides for each call whether it goes to the new version: of any number of calls that version
// gets its share, to within one call. Each node starts at a random offset, so that the first calls
// of a fleet don't all go to the new version.
class VersionSplit
{
public:
    explicit VersionSplit(std::uint64_t seed);

    // Whether the next call of the service goes to the new version.
    bool next(const ServiceName &service, double share);

private:
    std::mt19937_64 m_random;
    std::unordered_map<ServiceName, double> m_accumulatedShares;
};

}
