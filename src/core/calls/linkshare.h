#pragma once

#include "common/identifiers.h"

#include <cstdint>
#include <deque>

namespace Galenahill {

// Measures which fraction of an outbound link is left for large responses, from the bytes that the node
// sends. The fraction is the least one until enough has been measured.
class LinkShare
{
public:
    struct Options
    {
        // Speed of the link.
        std::uint64_t bytesPerSecond = 0;
        double least = 0.88;
        // Payload of a full Ethernet frame with TCP timestamps, as a fraction of the frame.
        double payload = 1448.0 / 1514;
        // The other traffic is averaged over that time, and measured no more often than once an interval.
        Milliseconds window{4000};
        Milliseconds interval{250};
        // Allows for other traffic that varies within the window.
        double headroom = 1.5;
    };

    explicit LinkShare(Options options);

    // Until now, the node has sent that many bytes of payload on the link, and that many of them for large
    // responses. Neither may decrease.
    void update(std::uint64_t sent, std::uint64_t large, TimePoint now);

    double value() const;

private:
    struct Sample
    {
        TimePoint at;
        std::uint64_t otherBytes = 0;
    };

    Options m_options;
    std::deque<Sample> m_samples;
    double m_value;
};

}
