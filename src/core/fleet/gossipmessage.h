#pragma once

#include "core/fleet/memberrecord.h"

#include <vector>

namespace Galenahill {

enum class GossipKind : std::uint8_t {
    // Asks for an Ack with the same sequence.
    Ping,
    // Asks the receiver to ping `subject` and to pass the Ack on.
    PingRequest,
    // Answers a Ping.
    Ack,
    // Carries news only; not answered.
    News,
    // Asks for News with the receiver's own record, which the sender lacks.
    Introduce,
};

// One datagram between nodes. Each carries the sender's revision, so any
// exchange shows a node that it is behind. The sender is known by the address
// that the datagram came from; its whole record travels only on request.
struct GossipMessage
{
    GossipKind kind = GossipKind::News;
    std::uint32_t sequence = 0;
    // What the sender says of itself.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Starting;
    // Only in a PingRequest: whom to ping.
    Endpoint subject;
    Revision revision;
    std::vector<MemberRecord> updates;
};

template <typename Inspector>
auto inspect(Inspector &inspector, GossipMessage &message)
{
    return inspector(message.kind, message.sequence, message.incarnation, message.state, message.subject, message.revision, message.updates);
}

}
