#pragma once

#include "common/identifiers.h"

#include <cstdint>

namespace Galenahill {

// Where a call comes from.
enum class CallOrigin {
    // A caller of the fleet.
    Caller,
    // A target, while it executed a call.
    Target,
    // A target, while it executed a retry, which makes its nested calls again.
    RetryAtTarget,
};

// Limits retries to a fraction of the calls, so that retries cannot multiply the load on a service
// that is already failing. While nested calls need retries, top-level calls leave a part of the tokens
// to them: the work of a parent call is lost with its nested call.
class RetryBudget
{
public:
    struct Options
    {
        // Tokens that one call adds; a retry takes one token.
        double tokensPerCall = 0.1;
        // Maximum number of accumulated tokens; also the number at start.
        double maxTokens = 20;
        // Share of the maximum that top-level calls leave to nested calls, and for how long after a nested
        // call last needed a retry.
        double nestedShare = 0.5;
        Milliseconds nestedClaim{5000};
    };

    // Tokens that retries took, that were returned since the retry was not made, and retries that found none.
    struct Counts
    {
        std::uint64_t taken = 0;
        std::uint64_t returned = 0;
        std::uint64_t refused = 0;
    };

    explicit RetryBudget(Options options);

    // Changes the limits; accumulated tokens are kept up to the new maximum.
    void setOptions(Options options);

    // A call has started. Its first attempt cannot be held back, also if it counts as a retry; the balance may then become
    // negative, which delays later retries.
    void recordCall(CallOrigin origin, TimePoint now);

    // Whether a token is left for a retry of a nested or a top-level call.
    bool hasToken(bool isNested, TimePoint now) const;

    // Takes a token; false if none is left.
    bool tryTakeToken(bool isNested, TimePoint now);

    // Returns the token of a retry that was not made.
    void returnToken();

    const Counts &counts() const;

private:
    Options m_options;
    Counts m_counts;
    double m_tokens = 0;
    // When a nested call last needed a retry.
    TimePoint m_lastNestedRetry;
};

}
