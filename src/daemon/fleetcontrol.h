#pragma once

#include "core/calls/routingview.h"
#include "core/config/nodesettings.h"
#include "core/fleet/gossipmessage.h"
#include "core/fleet/memberrecord.h"
#include "core/fleet/revisionsource.h"
#include "daemon/nodestate.h"
#include "ports/logger.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Galenahill {

// Settings and dependencies of FleetControl.
struct FleetControlOptions
{
    MemberRecord self;
    std::uint64_t seed = 1;
    std::shared_ptr<NodeState> state;
    Logger log;
    GossipPreference prefer = GossipPreference::Time;
    // Members that each round of gossip is sent to; zero: chosen by `prefer`.
    std::uint32_t fanOut = 0;
    // Members of each data centre that watch the store.
    std::uint32_t watchers = 2;
    std::function<void(const Endpoint &, const GossipMessage &)> send;
    std::function<void(std::shared_ptr<const RoutingView>)> publishView;
    // Called with all known members, also those that left or are gone, before each view. May be null.
    std::function<void(const std::vector<MemberRecord> &)> membersChanged;
    // A revision came into force; the routing view that uses it is published next.
    // May be null.
    std::function<void(std::shared_ptr<const ConfigRevision>)> revisionAdopted;
    // Starts to pull the peer's revision. `revisionReceived` must be called if the pull
    // succeeds, and `pullEnded` in any case.
    std::function<void(const Endpoint &peer)> pull;
    // Time that a watcher waits for its watch of the store to return a newer revision
    // before it pulls that from a member.
    Milliseconds watchGracePeriod{0};
    // Time between two probes of members that were declared gone.
    Milliseconds reconnectInterval{5000};
};

// Makes all decisions about membership and the revision in force. Used by one thread,
// or one actor, at a time.
class FleetControl
{
public:
    // Time between two calls of tick. Membership allows for twice as many; fewer wake-ups
    // suffice, since a node sends updates about itself at once.
    static constexpr Milliseconds TickInterval{100};

    explicit FleetControl(FleetControlOptions options);
    ~FleetControl();

    void tick();
    void datagramReceived(const Endpoint &from, const std::string &bytes);
    // Merges the member list of another member, and the one in the store.
    void membersReceived(const std::vector<MemberRecord> &members);
    void storedMembersReceived(const std::vector<MemberRecord> &members);
    void targetStateChanged(MemberState state, const TargetVersion &version = {});

    // Sets the rollouts' rules for target versions, and publishes a view with them.
    void setVersionRules(VersionRules rules);

    // A revision was read from the store or pulled from a member. It comes into force if
    // it is newer than the one in force.
    void revisionReceived(const std::shared_ptr<const ConfigRevision> &revision, RevisionSource source);
    void pullEnded(const Endpoint &peer);

    // A member has the revision in force.
    void revisionAdvertised(const Endpoint &member, Revision revision);

    // The store was read (revision zero: none was ever accepted), or could not be read.
    void storeAnswered(Revision revision);
    void storeFailed();

    // Announces to the other members that this node leaves.
    void leave();

    // Whether the node may accept calls: the highest revision that it can learn of is in
    // force.
    bool isReady() const;

    // Number and control addresses of the other live members.
    std::size_t peerCount() const;
    std::vector<Endpoint> peerAddresses() const;

    // Whether a member of that name is known, even one that was declared gone.
    bool knows(const NodeName &member) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
