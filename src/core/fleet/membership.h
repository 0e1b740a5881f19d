#pragma once

#include "core/fleet/gossipmessage.h"

#include <functional>
#include <memory>
#include <vector>

namespace Galenahill {

// One member's view of the fleet: a SWIM-like protocol with incarnations, suspicion, indirect
// probes and piggybacked updates. Single-threaded; callers pass the time in, and datagrams are sent
// through a hook.
class Membership
{
public:
    struct Options
    {
        MemberRecord self;
        std::uint64_t seed = 1;
        Milliseconds probeInterval{1000};
        // Time for a direct Ack before other members are asked to probe.
        Milliseconds probeTimeout{300};
        // Time for which a suspect can refute before it is declared gone, in a fleet of ten; grows
        // with the fleet and while this node's own link or CPU seems impaired.
        Milliseconds suspicionTimeout{4000};
        // Interval between two rounds of sending queued updates.
        Milliseconds gossipInterval{100};
        // Interval between two probes of members that are gone or have left.
        Milliseconds reconnectInterval{5000};
        // Time for which a member that left is remembered, so that an old record of it in flight
        // doesn't add it again.
        Milliseconds leftRetention{120000};
        // Time for which a member that was declared gone is remembered: partitions up to this long
        // heal without the store.
        Milliseconds goneRetention{7200000};
        // Members that updates and a new revision are sent to per round, mostly in the local data
        // centre.
        std::uint32_t fanOut = 3;
        // Average number of members of a data centre that send to another one in a round. In a
        // smaller data centre all members do.
        std::uint32_t bridgesPerDataCentre = 8;
        // Rounds in which a new revision is sent to random members.
        std::uint32_t revisionRounds = 2;
        // Successors in name order that a new revision is sent to in the last of these rounds.
        std::uint32_t successors = 2;
        // Members asked to probe a member that didn't answer directly.
        std::uint32_t indirectProbes = 3;
        // Maximum number of records in one datagram.
        std::uint32_t maxUpdates = 8;

        std::function<void(const Endpoint &, const GossipMessage &)> send;
        // Called when the set of members or the state of one has changed.
        std::function<void()> changed;
        // Called with the revision that the member at this control address has in force.
        std::function<void(const Endpoint &, Revision)> revisionAdvertised;
        // Returns the revision that this node has in force.
        std::function<Revision()> revision;
    };

    explicit Membership(Options options);
    ~Membership();

    // Handles a received datagram.
    void receive(const Endpoint &from, const GossipMessage &message, TimePoint now);

    // Sends due probes and updates, and expires suspects; call it every 50 to 100 ms.
    void tick(TimePoint now);

    // Merges the member list of a contact, and passes on members that this node didn't know: they
    // may belong to a group that no other member knows.
    void merge(const std::vector<MemberRecord> &records, TimePoint now);

    // Merges the store's list of all members. The records aren't passed on, since every member
    // reads them from the store itself.
    void mergeFromStore(const std::vector<MemberRecord> &records, TimePoint now);

    // Changes the state of this member and its target. Left is final.
    void setState(MemberState state, TimePoint now);
    void setTarget(MemberState state, const TargetVersion &version, TimePoint now);

    // Sends the new revision of this node to random members at once, and in further rounds.
    void announceRevision(TimePoint now);

    const MemberRecord &self() const;

    // All known members including this one and those that are gone.
    std::vector<MemberRecord> records() const;

    // The members that aren't gone and haven't left, including this one.
    std::vector<MemberRecord> live() const;

    // Whether no datagram was received for some time: then the cause is more likely at this node
    // than at the others.
    bool isolated(TimePoint now) const;

    // Whether the last probe is unanswered and no datagram was received since. Detects isolation
    // sooner than `isolated`, with occasional false alarms.
    bool lastProbeUnanswered() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
