#pragma once

#include <caf/actor_system_config.hpp>

namespace Galenahill {

// Settings of the actor system that runs a node's control plane.
class ActorSystemConfig : public caf::actor_system_config
{
public:
    ActorSystemConfig()
    {
        // The default scheduler wakes up hundreds of times a second when idle; the
        // budget of the control plane is 2% of a core.
        set("scheduler.policy", caf::atom("sharing"));
        set("scheduler.max-threads", 2);
        set("logger.verbosity", caf::atom("quiet"));
    }
};

}
