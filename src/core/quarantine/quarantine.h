#pragma once

#include "core/fleet/memberrecord.h"
#include "core/quarantine/quarantinetable.h"

#include <functional>
#include <memory>

namespace Galenahill {

// What changed in a node's quarantine, for its log.
struct QuarantineChange
{
    RequestDigest digest;
    RequestStanding standing = RequestStanding::Clear;
    // Ends that count against the request, and the nodes beside these targets.
    std::vector<NodeName> nodes;
    // Whether this node has seen the last end, or response, itself.
    bool seenHere = false;
};

// Keeps requests under which targets end away from further targets, together with the other nodes of the fleet. News of
// an end is sent at once to random members, which pass it on, and all ends are compared with a random member from time to
// time. Single-threaded; callers pass the time in, and messages are sent through a hook.
class Quarantine
{
public:
    struct Options
    {
        MemberRecord self;
        std::uint64_t seed = 1;
        QuarantineTable::Options table;
        // Number of members that news is sent to by each node.
        std::size_t fanOut = 16;
        // Interval of the comparison with a random member.
        Milliseconds compareInterval{1000};
        std::function<void(const Endpoint &, const QuarantineMessage &)> send;
        // Called when the standing of a request changes. May be null.
        std::function<void(const QuarantineChange &)> changed;
    };

    struct Counts
    {
        std::uint64_t endsSeen = 0;
        std::uint64_t endsReported = 0;
        std::uint64_t requestsCleared = 0;
        std::uint64_t messagesDropped = 0;
    };

    explicit Quarantine(Options options);
    ~Quarantine();

    // The node that this object belongs to.
    const NodeName &node() const;

    // Sets the live members. Messages from other nodes are dropped.
    void setMembers(const std::vector<MemberRecord> &members);

    // The target beside this node has ended while it may have been executing the requests.
    void targetEnded(const TargetVersion &version, const std::vector<RequestDigest> &suspects, TimePoint now);

    // The target beside this node has responded to the request.
    void answered(RequestDigest digest, TimePoint now);

    // Clears a request for an operator. Returns whether any end counted against it.
    bool clear(RequestDigest digest, TimePoint now);

    void messageReceived(const Endpoint &from, const QuarantineMessage &message, TimePoint now);

    // To be called several times a second.
    void tick(TimePoint now);

    const QuarantineTable &table() const;
    const Counts &counts() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
