#pragma once

#include "common/identifiers.h"

#include <optional>
#include <string_view>

namespace Galenahill {

// Rate of calls that a target accepts.
using CallsPerSecond = StrongType<double, struct CallsPerSecondTag>;

// Parses a rate as a decimal number: digits with an optional fraction, no sign and no exponent.
// Empty if the text is anything else, or if no target could mean so high a rate.
std::optional<CallsPerSecond> parseRate(std::string_view text);

// The rate limit that a target states in its responses. A target states its limit in each response
// for as long as it applies, and responses may arrive out of order.
class StatedRateLimit
{
public:
    enum class Change {
        None,
        Stated,
        Changed,
        Lifted,
    };

    // Processes what a response states: a limit, or none. The request was sent at `sentAt`. Two
    // statements whose order is unknown count as the stricter of both.
    Change update(std::optional<CallsPerSecond> stated, TimePoint sentAt, TimePoint now);

    // Forgets the limit, for a newly started target. Responses to earlier requests are ignored.
    void reset(TimePoint now);

    // The limit in force; empty if there is none.
    std::optional<CallsPerSecond> limit() const;

    // When a response last stated what is in force.
    TimePoint confirmedAt() const;

private:
    std::optional<CallsPerSecond> m_limit;
    TimePoint m_confirmedAt;
    TimePoint m_resetAt;
};

// Name of the change, for logs.
const char *toString(StatedRateLimit::Change change);

}
