#pragma once

#include "common/identifiers.h"
#include "core/quarantine/requestdigest.h"

#include <cstdint>
#include <vector>

namespace Galenahill {

// Identifies one unplanned end of a target in the whole fleet.
using TargetEndId = StrongType<std::uint64_t, struct TargetEndIdTag>;

// A request that was running when a target ended, and whether a target has responded to it since.
struct SuspectedRequest
{
    RequestDigest digest;
    bool cleared = false;
};

// An unplanned end of a target process, as nodes report it to each other.
struct TargetEnd
{
    TargetEndId id;
    // Node beside the target, and the target's service and version.
    NodeName node;
    ServiceName service;
    TargetVersion version;
    // Time since the end when the report was sent.
    std::uint32_t ageMs = 0;
    std::vector<SuspectedRequest> suspects;
};

// One datagram between nodes.
struct QuarantineMessage
{
    // Asks the receiver for all ends that it knows.
    bool wantsAll = false;
    std::vector<TargetEnd> ends;
};

template <typename Inspector>
auto inspect(Inspector &inspector, SuspectedRequest &request)
{
    return inspector(request.digest, request.cleared);
}

template <typename Inspector>
auto inspect(Inspector &inspector, TargetEnd &end)
{
    return inspector(end.id, end.node, end.service, end.version, end.ageMs, end.suspects);
}

template <typename Inspector>
auto inspect(Inspector &inspector, QuarantineMessage &message)
{
    return inspector(message.wantsAll, message.ends);
}

}
