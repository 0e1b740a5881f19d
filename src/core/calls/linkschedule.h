#pragma once

#include "common/identifiers.h"

#include <cstdint>

namespace Galenahill {

// Shares a VM's inbound link among large bodies. Let in as they come, they fill the
// link's queue, and a small call behind them waits for all of them: on 7 Mbit/s, six
// bodies of 60 KB hold it up for 400 ms, longer than calls of running requests
// have. A few at a time keep the link as busy, and those that wait can be told
// how long, or go elsewhere.
class LinkSchedule
{
public:
    struct Options
    {
        // Speed of the link; zero: not known, no body waits for another.
        std::uint64_t bytesPerSecond = 0;
        // Bodies under way at a time. One alone leaves the link idle whenever
        // its sender is held up.
        std::uint32_t transfers = 2;
        // Share of the link that bodies are taken to get; the rest is for small
        // calls, answers, gossip and configuration.
        double share = 0.85;
    };

    explicit LinkSchedule(Options options);

    // Whether a body may begin now.
    bool free() const;

    // When a body of that size that came now would be here, behind those under
    // way and those that wait.
    TimePoint arrival(std::uint64_t bytes, TimePoint now) const;

    // A body waits, or waits no more.
    void wait(std::uint64_t bytes);
    void waitEnded(std::uint64_t bytes);

    // A body begins, or has come or been given up.
    void begin(std::uint64_t bytes, TimePoint now);
    void end(TimePoint now);

private:
    Clock::duration timeFor(std::uint64_t bytes) const;

    Options m_options;
    std::uint32_t m_underWay = 0;
    std::uint64_t m_waitingBytes = 0;
    // When the bodies under way are expected to be here.
    TimePoint m_busyUntil;
};

}
