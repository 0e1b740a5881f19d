#pragma once

#include "daemon/fleetcontrol.h"

#include <caf/behavior.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/stateful_actor.hpp>
#include <memory>

namespace Galenahill {

// State of the control actor.
struct ControlState
{
    std::unique_ptr<FleetControl> fleet;
};

// Behaviour of the actor that makes the fleet's decisions one message at a time. It
// accepts the message types of controlmessages.h.
caf::behavior controlActor(caf::stateful_actor<ControlState> *self, FleetControlOptions options);

}
