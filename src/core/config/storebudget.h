#pragma once

#include "common/identifiers.h"

#include <random>

namespace Galenahill {

// Limits the rate of a node's background calls to the platform's store: a token bucket, and
// exponential backoff with jitter after failures. Operators' requests are not limited by it.
class StoreBudget
{
public:
    struct Options
    {
        double callsPerSecond = 2;
        double burst = 12;
        Milliseconds initialBackoff{200};
        Milliseconds maxBackoff{10000};
        std::uint64_t seed = 1;
    };

    explicit StoreBudget(Options options);

    // Reserves one call and returns the time to wait before it.
    Milliseconds reserve(TimePoint now);

    // Returns the time to wait after a failed call.
    Milliseconds failed();

    void succeeded();

    // A random time up to the given one, so that nodes that start together don't call the store at
    // the same time.
    Milliseconds jitter(Milliseconds max);

private:
    Options m_options;
    std::mt19937_64 m_random;
    double m_tokens;
    TimePoint m_lastRefill;
    Milliseconds m_backoff{0};
};

}
