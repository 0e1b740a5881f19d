#pragma once

#include "common/endpoint.h"
#include "core/config/configbundle.h"
#include "core/fleet/memberrecord.h"

#include <caf/allowed_unsafe_message_type.hpp>
#include <memory>
#include <string>
#include <vector>

// Messages to the control actor. They stay inside the process, so none of them is
// ever serialized.
namespace Galenahill {

struct DatagramReceived
{
    Endpoint from;
    std::string bytes;
};

struct TargetStateChanged
{
    MemberState state = MemberState::Starting;
};

struct MembersReceived
{
    std::vector<MemberRecord> members;
};

// A revision was read from the store, pulled from a member or accepted by this node.
struct RevisionReceived
{
    std::shared_ptr<const ConfigRevision> revision;
    RevisionSource source = RevisionSource::Member;
};

struct PullEnded
{
    Endpoint peer;
};

// The store's head was read for the first time; the revision is zero if there is none.
struct StoreAnswered
{
    Revision revision;
};

// The store's head could not be read.
struct StoreFailed
{
};

struct ControlTick
{
};

// The node begins a planned stop.
struct LeaveFleet
{
};

}

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Galenahill::DatagramReceived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Galenahill::TargetStateChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Galenahill::MembersReceived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Galenahill::RevisionReceived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Galenahill::PullEnded)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Galenahill::StoreAnswered)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Galenahill::StoreFailed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Galenahill::ControlTick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Galenahill::LeaveFleet)
