#pragma once

#include "common/identifiers.h"

#include <cstdint>
#include <deque>

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
// that is already failing. While nested calls need retries, top-level calls leave a part of the retries
// to them: the work of a parent call is lost with its nested call.
class RetryBudget
{
public:
    struct Options
    {
        // Retries in each window: for each call that a caller sent in it, and beside those.
        double retriesPerCall = 0.1;
        double slack = 20;
        Milliseconds window{10000};
        // Share of the retries that top-level calls leave to nested calls, and for how long after a nested
        // call last needed a retry.
        double nestedShare = 0.5;
        Milliseconds nestedClaim{5000};
    };

    // Retries that were allowed, that were returned since they were not made, and that were refused.
    struct Counts
    {
        std::uint64_t taken = 0;
        std::uint64_t returned = 0;
        std::uint64_t refused = 0;
    };

    explicit RetryBudget(Options options);

    // Changes the limits.
    void setOptions(Options options);

    // A call has started. Its first attempt cannot be held back, also if it counts as a retry, and then delays later
    // retries.
    void recordCall(CallOrigin origin, TimePoint now);

    // Whether a retry of a nested or a top-level call is allowed now.
    bool hasToken(bool isNested, TimePoint now) const;

    // Counts a retry if it is allowed; false if it is not.
    bool tryTakeToken(bool isNested, TimePoint now);

    // Returns the token of a retry that was not made.
    void returnToken();

    const Counts &counts() const;

private:
    struct Bucket
    {
        std::int64_t step = 0;
        double calls = 0;
        double retries = 0;
    };

    Bucket &bucketAt(TimePoint now);
    std::int64_t stepOf(TimePoint time) const;

    Options m_options;
    Counts m_counts;
    // Ordered by time; only those with calls or retries.
    std::deque<Bucket> m_buckets;
    // When a nested call last needed a retry.
    TimePoint m_lastNestedRetry;
};

}
