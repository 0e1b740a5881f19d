#pragma once

#include "common/endpoint.h"
#include "common/identifiers.h"

#include <cstdint>

namespace Galenahill {

// A direct ping whose Ack is outstanding.
struct Probe
{
    std::uint32_t sequence = 0;
    NodeName name;
    TimePoint sent;
    bool indirect = false;
};

// A ping sent on behalf of another member, whose Ack is to be relayed.
struct RelayedProbe
{
    std::uint32_t relaySequence = 0;
    std::uint32_t requestSequence = 0;
    Endpoint requester;
    TimePoint sent;
};

}
