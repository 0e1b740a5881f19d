#pragma once

#include "common/identifiers.h"

#include <random>

namespace Galenahill {

// How often one node may call the platform's store on its own account: a token
// bucket, and a growing jittered pause after failures. Operators' requests
// aren't held up by it.
class StoreBudget
{
public:
    struct Options
    {
        double callsPerSecond = 2;
        double burst = 12;
        Milliseconds firstBackoff{200};
        Milliseconds longestBackoff{10000};
        std::uint64_t seed = 1;
    };

    explicit StoreBudget(Options options);

    // Takes one call out of the budget and gives the time to wait before it.
    Milliseconds reserve(TimePoint now);

    // Gives the time to wait after a call that failed.
    Milliseconds failed();

    void succeeded();

    // A random time of up to the one given, so that nodes that start together
    // don't call together.
    Milliseconds jitter(Milliseconds most);

private:
    Options m_options;
    std::mt19937_64 m_random;
    double m_tokens;
    TimePoint m_filled;
    Milliseconds m_backoff{0};
};

}
