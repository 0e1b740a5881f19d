#pragma once

#include "core/rollouts/rolloutrecord.h"

#include <cstdint>
#include <random>
#include <unordered_map>

namespace Galenahill {

// Decides call by call which go to a version under test: of any number of calls the
// share, to within one call. Each node begins at another point, so that a fleet's
// first calls don't all go there.
class VersionSplit
{
public:
    explicit VersionSplit(std::uint64_t seed);

    // Whether the next call of the service goes to the version.
    bool next(const ServiceName &service, double share);

private:
    std::mt19937_64 m_random;
    std::unordered_map<ServiceName, double> m_due;
};

}
