#pragma once

#include "core/config/customerdefinition.h"
#include "core/customers/leasemessages.h"
#include "core/customers/limitmembers.h"

#include <functional>
#include <memory>
#include <vector>

namespace Galenahill {

// Holds the token buckets of the customers whose grantor this member is, and leases tokens to nodes.
// Single-threaded; callers pass the time in, and answers are sent through a hook.
class TokenGrantor
{
public:
    struct Options
    {
        const LimitMembers &members;
        std::function<void(const Endpoint &, const LeaseMessage &)> send;
        // Time without a tick after which this node was paused: the others may have spent their reserves
        // meanwhile, so buckets don't fill for that time.
        Milliseconds pauseLimit{300};
        // Time without a tick after which the others may have taken another grantor; less than the time
        // in which the membership declares a member gone.
        Milliseconds replacedAfter{3000};
        // Time for which the last request of a node is remembered, to answer repetitions alike.
        Milliseconds requestRetention{5000};
        // Time for which the bucket of a customer that another member now grants can still be used by
        // nodes that have not learned of that member; it is not filled any more.
        Milliseconds handoverTime{500};
    };

    explicit TokenGrantor(Options options);
    ~TokenGrantor();

    // Sets the customers' limits. Bucket levels are capped to a lowered limit.
    void setCustomers(const std::vector<CustomerDefinition> &customers, Revision revision, TimePoint now);

    // The members that the options refer to have changed.
    void membersChanged(TimePoint now);

    // Handles the requests and returns in a message; its answers are left alone.
    void receive(const Endpoint &from, const LeaseMessage &message, TimePoint now);

    // Applies what changes with time; call it several times a second.
    void tick(TimePoint now);

    // Tokens granted, calls that got none, and messages dropped because their sender is no member.
    std::uint64_t granted() const;
    std::uint64_t denied() const;
    std::uint64_t dropped() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
