#pragma once

#include "core/customers/leasemessages.h"
#include "core/fleet/memberrecord.h"

#include <memory>
#include <vector>

namespace Galenahill {

// The members as the customers' limits see them: which of them grants the tokens of a customer, and for
// which share of the fleet this node's view speaks. Callers pass the time in.
class LimitMembers
{
public:
    struct Options
    {
        NodeName self;
        // Whether the fleet starts for the first time, so that nobody has spent anything.
        bool firstStart = false;
        // When this node started.
        TimePoint started;
        // How long a member that vanished without leaving counts as one that may still run calls. It
        // counts longer if as many members vanished as are live: then this side of a partition is
        // probably the smaller one.
        Milliseconds vanishedPeriod{30'000};
        Milliseconds minorityPeriod{600'000};
        // Time after which a node that never saw another member takes itself for the whole fleet.
        Milliseconds aloneDelay{30'000};
        // Time after its start in which a node that takes part in a running fleet grants nothing, since
        // its view may lack members.
        Milliseconds settleTime{1000};
        // Time without a datagram from another member after which this node counts as cut off; members
        // gossip several times a second. The membership of such a node declares nobody gone.
        Milliseconds isolationTime{1000};
        // Time for which it still counts as cut off after that, until the others know that it is back.
        Milliseconds rejoinTime{3000};
        // Time without a tick after which this node was paused, which says nothing about its links.
        Milliseconds pauseLimit{500};
        // Time after a first start in which buckets start full.
        Milliseconds firstStartPeriod{10'000};
    };

    explicit LimitMembers(Options options);
    ~LimitMembers();

    // Sets all known members, whatever their state. Returns whether the set of live members changed.
    bool setMembers(const std::vector<MemberRecord> &members, TimePoint now);

    // Any datagram has arrived from another node.
    void heard(TimePoint now);

    // Notices whether this node is cut off; call it several times a second.
    void tick(TimePoint now);

    // The live member that grants tokens of the customer: the first in the rendezvous order.
    const MemberRecord &grantorOf(CustomerHash customer) const;
    bool isGrantor(CustomerHash customer) const;

    // This node as the membership lists it.
    const MemberRecord &self() const;

    // Name of the member with that control address, if it may ask for tokens; null otherwise.
    const NodeName *sender(const Endpoint &control) const;

    // Members that have not left: the live ones and those that vanished and still count.
    std::size_t known(TimePoint now) const;

    // Share of the known members that are live and under no suspicion; only this node's own if it is cut
    // off. Zero while this node has seen no other member and can't be the only one.
    double share(TimePoint now) const;

    // Whether so many members are suspected that a part of the fleet is probably out of reach.
    bool mayBePartitioned() const;

    // A number from 0 to 1 that differs from node to node and from customer to customer.
    double phase(CustomerHash customer) const;

    // Since when the present live members are the same, or when this node may begin to grant.
    TimePoint grantsSince() const;

    // Whether nobody can have spent tokens before.
    bool startsFull(TimePoint now) const;

    // Whether another member is, or was, in view.
    bool hasSeenOthers() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
