#pragma once

#include "core/fleet/memberrecord.h"

#include <vector>

namespace Galenahill {

enum class GossipKind : std::uint8_t {
    // Requests an Ack with the same sequence.
    Ping,
    // Asks the receiver to ping `subject` and to relay the Ack.
    PingRequest,
    // Answers a Ping.
    Ack,
    // Carries updates and the sender's revision; not answered.
    Update,
    // Requests an Update with the receiver's own record, which the sender lacks.
    RecordRequest,
};

// One datagram between nodes. Each carries the sender's revision, so that any exchange shows a node
// whether it is behind. The sender is identified by the source address of the datagram; its full
// record is sent only on request.
struct GossipMessage
{
    GossipKind kind = GossipKind::Update;
    std::uint32_t sequence = 0;
    // Incarnation and state of the sender.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Starting;
    // Only in a PingRequest: the member to ping.
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
