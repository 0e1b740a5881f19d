#pragma once

#include "core/calls/routingview.h"
#include "core/config/nodesettings.h"
#include "core/fleet/gossipmessage.h"
#include "core/fleet/memberrecord.h"
#include "daemon/nodestate.h"
#include "ports/logger.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Galenahill {

// What the decisions about the fleet need from their surroundings.
struct FleetControlOptions
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
    // A revision came into force; the routing view with it is published next.
    // May be null.
    std::function<void(std::shared_ptr<const ConfigRevision>)> revisionTaken;
    // Fetches the peer's revision; it is answered by `revisionReceived`, if it
    // came, and `pullEnded`.
    std::function<void(const Endpoint &peer)> pull;
    // Time that a node which watches the store gives its own watch before it
    // fetches a newer revision from a member.
    Milliseconds watcherPatience{0};
    // Time between two probes of members that count as gone.
    Milliseconds reviveInterval{5000};
};

// Membership and the revision in force: all decisions about the fleet are taken
// here. Used by one thread, or one actor, at a time.
class FleetControl
{
public:
    // Time between two calls of tick. Half as many wake-ups as the membership
    // would take; news of its own leave a node at once, whatever the interval.
    static constexpr Milliseconds TickInterval{100};

    explicit FleetControl(FleetControlOptions options);
    ~FleetControl();

    void tick();
    void datagramReceived(const Endpoint &from, const std::string &bytes);
    // Members that another member listed, and those that the store lists.
    void membersReceived(const std::vector<MemberRecord> &members);
    void storedMembersReceived(const std::vector<MemberRecord> &members);
    void targetStateChanged(MemberState state, const TargetVersion &version = {});

    // What rollouts say of the targets; published with the next view.
    void setVersionRules(VersionRules rules);

    // A revision came from the store or a member. It is taken if it is above
    // the one in force.
    void revisionReceived(const std::shared_ptr<const ConfigRevision> &revision);
    void pullEnded(const Endpoint &peer);

    // The store was read (zero: nothing was ever accepted), or didn't answer.
    void storeAnswered(Revision revision);
    void storeFailed();

    // Tells the others that this node stops.
    void leave();

    // Whether the node may take calls: it holds the highest revision that it
    // can learn of.
    bool open() const;

    // Other live members: how many, and their control addresses.
    std::size_t others() const;
    std::vector<Endpoint> otherAddresses() const;

    // Whether a member of that name is known, given up or not.
    bool knows(const NodeName &member) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
