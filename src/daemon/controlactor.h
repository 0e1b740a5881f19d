#pragma once

#include "core/calls/routingview.h"
#include "core/config/nodesettings.h"
#include "core/fleet/gossipmessage.h"
#include "core/fleet/memberrecord.h"
#include "daemon/nodestate.h"
#include "ports/logger.h"

#include <caf/behavior.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/stateful_actor.hpp>
#include <functional>
#include <memory>

namespace Galenahill {

// What the control actor needs from its surroundings.
struct ControlOptions
{
    MemberRecord self;
    std::uint64_t seed = 1;
    std::shared_ptr<NodeState> state;
    Logger log;
    GossipPreference prefer = GossipPreference::Time;
    // Zero leaves it to `prefer`.
    std::uint32_t fanOut = 0;
    // Members of one data centre that watch the store's head.
    std::uint32_t watchers = 2;
    std::function<void(const Endpoint &, const GossipMessage &)> send;
    std::function<void(std::shared_ptr<const RoutingView>)> publishView;
    // Fetches the peer's revision and answers with RevisionReceived, if it
    // came, and PullEnded.
    std::function<void(const Endpoint &peer)> pull;
};

// State of the control actor: membership and the revision in force. All
// decisions about the fleet are taken here, one message at a time.
class ControlState
{
public:
    ControlState();
    ~ControlState();

    class Private;
    std::unique_ptr<Private> d;
};

// Behaviour of the control actor; it takes the types of controlmessages.h.
caf::behavior controlActor(caf::stateful_actor<ControlState> *self, ControlOptions options);

}
