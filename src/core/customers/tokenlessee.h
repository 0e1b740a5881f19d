#pragma once

#include "core/config/customerdefinition.h"
#include "core/customers/leasemessages.h"
#include "core/customers/limitmembers.h"

#include <functional>
#include <memory>
#include <vector>

namespace Galenahill {

// Identifies a call that waits for a token.
using WaiterId = StrongType<std::uint64_t, struct WaiterIdTag>;

// Whether a call may run, and what the decision is based on, for the log.
struct TokenDecision
{
    enum class Status {
        Granted,
        Denied,
        // The decision follows through the hook.
        Waiting,
    };

    Status status = Status::Granted;
    // Whether the token came from the reserve because the grantor does not answer.
    bool reserveUsed = false;
    // Whether the call was denied because the grantor did not answer and the reserve was empty.
    bool grantorSilent = false;
    // When to retry a denied call.
    Milliseconds retryAfter{0};
    CustomerLimit limit;
    std::uint32_t balance = 0;
    // Time since the grantor's last answer; negative if there was none.
    Milliseconds answerAge{-1};
};

// A node's side of the customers' limits: leases tokens from the grantors and spends them on calls.
// Single-threaded; callers pass the time in. Must not be called from its `send` hook.
class TokenLessee
{
public:
    struct Options
    {
        const LimitMembers &members;
        // Number of the first request; random, so that answers to a former process of this node don't
        // match.
        LeaseSequence firstSequence = 0;
        // Longest time that a call waits for a token.
        Milliseconds maxWait{60};
        // Time after which a request without an answer is repeated.
        Milliseconds repeatInterval{20};
        // Time for whose calls a request asks ahead.
        Milliseconds aheadTime{500};
        // Time after which unused tokens are returned.
        Milliseconds unusedTime{1000};
        // Time without an answer after which the grantor suspects that this node has vanished, so that
        // its reserve fills at its share of the rate.
        Milliseconds cutOffDelay{4000};
        // Time for which an answer from another grantor shows that this node is not cut off.
        Milliseconds answerValidity{2000};
        std::function<void(const Endpoint &, const LeaseMessage &)> send;
        // Called once for each call whose decision was Waiting.
        std::function<void(WaiterId, const TokenDecision &)> decided;
    };

    // What happened so far, for metrics.
    struct Counters
    {
        std::uint64_t granted = 0;
        std::uint64_t denied = 0;
        std::uint64_t reserveUsed = 0;
        std::uint64_t requests = 0;
        std::uint64_t unanswered = 0;
        std::uint64_t returned = 0;
    };

    explicit TokenLessee(Options options);
    ~TokenLessee();

    // Sets the customers' limits; leased tokens are capped to a lowered limit.
    void setCustomers(const std::vector<CustomerDefinition> &customers, Revision revision, TimePoint now);

    // The members that the options refer to have changed. Outstanding requests go to the new grantors.
    void membersChanged(TimePoint now);

    // Takes a token for a call. `waiter` identifies the call in the hook if it has to wait.
    TokenDecision acquire(const CustomerName &customer, WaiterId waiter, TimePoint now);

    // Forgets a waiting call.
    void cancel(const CustomerName &customer, WaiterId waiter);

    // Takes the token of a call back that did not run.
    void release(const CustomerName &customer, bool fromReserve, TimePoint now);

    // Handles the answers in a message; its requests and returns are left alone.
    void receive(const Endpoint &from, const LeaseMessage &message, TimePoint now);

    // Repeats requests, gives up waiting, and returns unused tokens. To be called at least every 20 ms
    // while a call waits, and several times a second otherwise.
    void tick(TimePoint now);

    const Counters &counters() const;

    // Tokens that the node holds for the customer.
    std::uint32_t balance(const CustomerName &customer) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
