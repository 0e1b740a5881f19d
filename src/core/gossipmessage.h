#pragma once

#include "core/memberrecord.h"

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
};

// One datagram between nodes. Each carries the sender's revision, so any
// exchange shows a node that it is behind.
struct GossipMessage
{
    GossipKind kind = GossipKind::News;
    std::uint64_t sequence = 0;
    // Record of the sender.
    MemberRecord sender;
    // Only in a PingRequest: whom to ping.
    Endpoint subject;
    Revision revision;
    std::vector<MemberRecord> updates;
};

template <typename Inspector>
auto inspect(Inspector &inspector, GossipMessage &message)
{
    return inspector(message.kind, message.sequence, message.sender, message.subject, message.revision, message.updates);
}

}
