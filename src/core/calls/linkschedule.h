#pragma once

#include "common/identifiers.h"

#include <cstdint>

namespace Galenahill {

// Schedules large request bodies on a VM's inbound link. Accepted all at once, they fill the
// link's queue, and a small call behind them waits for all of them: on 7 Mbit/s, six bodies of
// 60 KB delay it by 400 ms, longer than nested calls have. A few at a time keep the link as busy,
// and callers of the waiting ones learn the expected wait or go to another target.
class LinkSchedule
{
public:
    struct Options
    {
        // Speed of the link; zero if unknown, then no body waits for another.
        std::uint64_t bytesPerSecond = 0;
        // Concurrent transfers. A single one leaves the link idle whenever its sender is delayed.
        std::uint32_t maxTransfers = 2;
        // Fraction of the link that bodies are expected to get; the rest is for small calls, responses,
        // gossip and configuration.
        double bodyFraction = 0.85;
    };

    explicit LinkSchedule(Options options);

    // Whether a transfer may begin now.
    bool canBegin() const;

    // When a body of that size, if it came now, would have arrived, behind the running transfers and
    // the bodies that wait.
    TimePoint expectedArrival(std::uint64_t bytes, TimePoint now) const;

    // Adds or removes the size of a waiting body.
    void addWaiting(std::uint64_t bytes);
    void removeWaiting(std::uint64_t bytes);

    // A transfer began, or it finished or was abandoned.
    void beginTransfer(std::uint64_t bytes, TimePoint now);
    void endTransfer(TimePoint now);

private:
    Clock::duration transferTime(std::uint64_t bytes) const;

    Options m_options;
    std::uint32_t m_activeTransfers = 0;
    std::uint64_t m_waitingBytes = 0;
    // When the running transfers are expected to finish.
    TimePoint m_busyUntil;
};

}
