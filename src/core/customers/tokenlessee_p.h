#pragma once

#include "core/customers/leasereserve.h"
#include "core/customers/tokenlessee.h"

#include <map>
#include <set>
#include <unordered_map>

namespace Galenahill {

// tokenlessee.cpp decides on calls; tokenlesseerequests.cpp exchanges messages with the grantors.
class TokenLessee::Private
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , nextSequence(options.firstSequence)
    {
    }

    struct Waiter
    {
        WaiterId id;
        TimePoint since;
    };

    struct Outstanding
    {
        Endpoint grantor;
        LeaseRequest request;
        TimePoint firstSent;
        TimePoint lastSent;
    };

    struct Lease
    {
        CustomerName name;
        CustomerHash hash;
        CustomerLimit limit;
        LeaseReserve reserve;
        std::uint32_t balance = 0;
        Endpoint grantor;
        // When tokens arrived, or the last one was used.
        TimePoint used;
        // Calls a second, as of the last call.
        double demand = 0;
        TimePoint lastCall;
        std::uint32_t lastAhead = 0;
        std::optional<Outstanding> outstanding;
        std::vector<Waiter> waiters;
        TimePoint deniedUntil;
        // When the next rejected caller finds capacity.
        TimePoint nextCapacity;
        std::size_t rejected = 0;
        std::optional<TimePoint> lastAnswer;
        // Share of the tokens from a grantor with an older revision that the lowered limit allows.
        double loweredTo = 1;
        std::uint32_t loweredIn = 0;
    };

    // Time over which the demand is averaged.
    static constexpr double DemandSeconds = 2;

    Options options;
    LeaseSequence nextSequence;
    std::uint32_t revision = 0;
    std::unordered_map<CustomerHash, Lease> leases;
    Counters counters;

    // Grantors that left the last request unanswered, and the last answer of any.
    std::set<Endpoint> silent;
    TimePoint lastAnswer;

    Lease *find(const CustomerName &customer);
    void fillReserve(Lease &lease, TimePoint now) const;
    void limitChanged(Lease &lease, const CustomerLimit &limit) const;
    void recordCall(Lease &lease, TimePoint now) const;
    void dropExpired(Lease &lease, TimePoint now) const;
    void request(Lease &lease, TimePoint now);
    void send(const Lease &lease);
    void refillAhead(Lease &lease, TimePoint now);
    void answered(const Endpoint &from, const LeaseAnswer &answer, std::uint32_t answerRevision, TimePoint now);
    void serveWaiters(Lease &lease, TimePoint now);
    void denyWaiters(Lease &lease, TimePoint now);
    TokenDecision decision(const Lease &lease, TokenDecision::Status status, TimePoint now);
    TokenDecision deny(Lease &lease, TimePoint now);
    void waitEnded(Lease &lease, const Waiter &waiter, TimePoint now);
    void tickRequests(Lease &lease, TimePoint now);
    void returnUnused(Lease &lease, std::map<Endpoint, LeaseMessage> &messages, TimePoint now);
};

}
