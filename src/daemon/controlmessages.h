#pragma once

#include "common/endpoint.h"
#include "core/config/configbundle.h"
#include "core/fleet/memberrecord.h"

#include <caf/allowed_unsafe_message_type.hpp>
#include <memory>
#include <string>
#include <vector>

// What the control actor is told. The messages stay inside the process, so
// none of them is ever serialized.
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

// A revision from the store, from another member, or accepted here.
struct RevisionReceived
{
    std::shared_ptr<const ConfigRevision> revision;
};

struct PullEnded
{
    Endpoint peer;
};

// The store's head was read for the first time; zero if it has none.
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

// The node begins its planned stop.
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
