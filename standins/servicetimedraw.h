#pragma once

#include "common/identifiers.h"

#include <chrono>
#include <cstdint>
#include <random>

namespace Galenahill {

// Draws the service time of each call of a target stand-in from a seed. A target may be slow for a
// while, in which the calls that start take longer by a factor.
class ServiceTimeDraw
{
public:
    struct Options
    {
        std::chrono::microseconds mean{0};
        // Share of the calls that take longer by the factor; zero: each call takes the mean.
        double lateShare = 0;
        double lateFactor = 10;
        std::uint64_t seed = 1;
    };

    explicit ServiceTimeDraw(Options options);

    std::chrono::microseconds next(TimePoint now);

    std::chrono::microseconds mean() const;
    void setMean(std::chrono::microseconds mean);
    void slowDown(double factor, TimePoint until);

private:
    Options m_options;
    std::mt19937_64 m_random;
    double m_slowFactor = 1;
    TimePoint m_slowUntil;
};

}
