#pragma once

#include "common/identifiers.h"

#include <random>

namespace Galenahill {

// Chooses after which time rejected callers should retry.
class RetryAfter
{
public:
    explicit RetryAfter(std::uint64_t seed);

    // Time after which a caller that is rejected now should find a free slot, given the wait that the
    // least loaded target reported and the time that the caller has left. Jittered, so that callers
    // rejected together do not retry together.
    Milliseconds delay(Milliseconds reportedWait, Milliseconds timeLeft);

private:
    std::mt19937_64 m_random;
};

}
