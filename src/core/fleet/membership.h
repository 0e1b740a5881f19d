#pragma once

#include "core/fleet/gossipmessage.h"

#include <functional>
#include <memory>
#include <vector>

namespace Galenahill {

// The fleet as one member sees it: a SWIM-like protocol with incarnations,
// suspicion, indirect probes and piggybacked updates. Single-threaded; time
// comes in through arguments and datagrams leave through a hook.
class Membership
{
public:
    struct Options
    {
        MemberRecord self;
        std::uint64_t seed = 1;
        Milliseconds probeInterval{1000};
        // Time for a direct answer before other members are asked to probe.
        Milliseconds probeTimeout{300};
        // Time that a suspect has to refute before it counts as gone, in a
        // fleet of ten; grows with the fleet and with this node's own trouble.
        Milliseconds suspicionTimeout{4000};
        // Time between two rounds of sending fresh updates.
        Milliseconds gossipInterval{100};
        // Time between two probes of members that count as gone.
        Milliseconds reviveInterval{5000};
        // Time that a member that left is remembered, so that an old record
        // of it that is still under way doesn't bring it back.
        Milliseconds leftRetention{120000};
        // Time that a member that was given up is remembered: the time after
        // which a partition still heals without the store.
        Milliseconds goneRetention{7200000};
        // Members that fresh updates and a new revision go to per round. They are of
        // the own data centre, but for one now and then.
        std::uint32_t fanOut = 3;
        // Members of each data centre that tell another one in a round, on average.
        // Of smaller data centres all do.
        std::uint32_t bridgesPerDataCentre = 8;
        // Rounds in which a new revision goes to random members.
        std::uint32_t revisionRounds = 2;
        // Next members in the order of names that hear of a new revision last.
        std::uint32_t successors = 2;
        // Members asked for an indirect probe.
        std::uint32_t indirectProbes = 3;
        // Records in one datagram.
        std::uint32_t maxUpdates = 8;

        std::function<void(const Endpoint &, const GossipMessage &)> send;
        // The set of members or the state of one changed.
        std::function<void()> changed;
        // The member at this control address was heard to have this revision
        // in force.
        std::function<void(const Endpoint &, Revision)> revisionHeard;
        // The revision that this node has in force.
        std::function<Revision()> revision;
    };

    explicit Membership(Options options);
    ~Membership();

    // Takes one datagram that was received.
    void receive(const Endpoint &from, const GossipMessage &message, TimePoint now);

    // Does what is due; call it every 50 to 100 ms.
    void tick(TimePoint now);

    // Takes the list of members that a contact gave, and tells others of those
    // that were unknown here: they may be of a group that knows nobody else.
    void merge(const std::vector<MemberRecord> &records, TimePoint now);

    // Takes the list of all members that the store has. Every member reads it
    // there itself, so that nobody is told.
    void mergeFromStore(const std::vector<MemberRecord> &records, TimePoint now);

    // Changes what this member says of itself and its target. Left is final.
    void setState(MemberState state, TimePoint now);
    void setTarget(MemberState state, const TargetVersion &version, TimePoint now);

    // Tells random members now that this node has a new revision, and goes on
    // for some rounds.
    void announceRevision(TimePoint now);

    const MemberRecord &self() const;

    // All known members with this one, gone ones too.
    std::vector<MemberRecord> records() const;

    // The members that aren't gone, with this one.
    std::vector<MemberRecord> live() const;

    // Whether nothing was heard from any member for some time though there
    // are some: then the fault is more likely here than there.
    bool isolated(TimePoint now) const;

    // Whether the last probe stayed unanswered and nothing was heard from anybody
    // since: sooner than `isolated`, and wrong now and then.
    bool unanswered() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
