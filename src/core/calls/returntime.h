#pragma once

#include "common/identifiers.h"

#include <random>

namespace Galenahill {

// Tells refused callers when to come back.
class ReturnTime
{
public:
    explicit ReturnTime(std::uint64_t seed);

    // Time after which a caller that is refused now finds room, given the wait
    // that the least busy target told and the time that the caller has left.
    // Spread, so that callers refused together don't return together.
    Milliseconds after(Milliseconds toldWait, Milliseconds timeLeft);

private:
    std::mt19937_64 m_random;
};

}
