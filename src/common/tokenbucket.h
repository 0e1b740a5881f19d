#pragma once

#include "common/identifiers.h"

namespace Galenahill {

// Token bucket: fills at a constant rate up to its capacity. Callers pass the time in.
class TokenBucket
{
public:
    struct Options
    {
        double tokensPerSecond = 1;
        double capacity = 1;
        double initialTokens = 0;
    };

    TokenBucket(Options options, TimePoint now);

    // Changes rate and capacity. Tokens beyond the new capacity are lost.
    void setRate(double tokensPerSecond, double capacity, TimePoint now);

    // Removes one token, if there is a whole one.
    bool tryTake(TimePoint now);

    // Returns a token whose use did not happen.
    void giveBack(TimePoint now);

    // Tokens at present; a fraction is one that is still filling up.
    double tokens(TimePoint now) const;

    // Time until that many tokens can have been taken, one after the other; a day at most, also if the
    // bucket does not fill.
    std::chrono::microseconds timeUntil(double tokens, TimePoint now) const;

    // Time in which one token fills up; a day at most, also if the bucket does not fill.
    std::chrono::microseconds interval() const;

private:
    void refill(TimePoint now);
    std::chrono::microseconds fillTime(double tokens) const;

    Options m_options;
    double m_tokens;
    TimePoint m_refilled;
};

}
