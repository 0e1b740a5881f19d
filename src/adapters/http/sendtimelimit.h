#pragma once

#include "common/identifiers.h"

#include <cstdint>

namespace Galenahill {

// Decides when a server gives up a response that its peer doesn't receive. The time limit begins anew whenever
// the peer has acknowledged enough, so that it applies to pauses and not to the length of the response.
class SendTimeLimit
{
public:
    struct Options
    {
        Milliseconds limit{10000};
        // Bytes to acknowledge within the limit. A peer that takes single bytes would keep the connection for ever.
        std::uint64_t minBytes = 1024;
    };

    explicit SendTimeLimit(const Options &options);

    // Begins a response or a part of one.
    void begin(TimePoint now);

    // When to ask next whether the limit has passed.
    TimePoint nextCheck(TimePoint now) const;

    // Whether the limit has passed. Takes the number of bytes that the peer has acknowledged since the
    // connection's begin.
    bool isOver(TimePoint now, std::uint64_t acknowledged);

private:
    Options m_options;
    std::uint64_t m_acknowledged = 0;
    TimePoint m_lastProgress;
};

}
