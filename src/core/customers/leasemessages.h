#pragma once

#include "common/identifiers.h"

#include <cstdint>
#include <vector>

namespace Galenahill {

// Customers in the messages about leases: a 64-bit hash of the name, so that a datagram stays short.
using CustomerHash = StrongType<std::uint64_t, struct CustomerHashTag>;

// Numbers the requests and returns of one node. Wraps around, and starts at a random number.
using LeaseSequence = std::uint16_t;

CustomerHash hashOf(const CustomerName &customer);

// Asks the grantor for tokens. A repeated request has the same number and gets the same answer.
struct LeaseRequest
{
    CustomerHash customer;
    LeaseSequence sequence = 0;
    // Calls that wait for a token.
    std::uint8_t waiting = 0;
    // Further tokens for calls expected soon.
    std::uint8_t ahead = 0;
    // Calls rejected since the last request, whose callers were told when to come back.
    std::uint8_t rejected = 0;
};

// Answers the request of the same number: a grant, or a denial if `tokens` does not cover the calls
// that wait. Times are in units of 20 ms.
struct LeaseAnswer
{
    CustomerHash customer;
    LeaseSequence sequence = 0;
    std::uint16_t tokens = 0;
    // Time for which it is useless to ask again; zero if all waiting calls got a token.
    std::uint8_t deniedFor = 0;
    // Time after which a caller that is rejected now finds capacity.
    std::uint8_t retryAfter = 0;
};

// Returns tokens that were not used.
struct LeaseReturn
{
    CustomerHash customer;
    LeaseSequence sequence = 0;
    std::uint16_t tokens = 0;
};

// One datagram.
struct LeaseMessage
{
    // Revision of the sender's configuration, which its limits are from; the lower 32 bits.
    std::uint32_t revision = 0;
    std::vector<LeaseRequest> requests;
    std::vector<LeaseAnswer> answers;
    std::vector<LeaseReturn> returns;
};

// Unit of the times in an answer.
constexpr Milliseconds LeaseTimeUnit{20};

// Largest number of entries of a kind in a datagram.
constexpr std::size_t MaxLeaseEntries = 100;

template <typename Inspector>
auto inspect(Inspector &inspector, LeaseRequest &request)
{
    return inspector(request.customer, request.sequence, request.waiting, request.ahead, request.rejected);
}

template <typename Inspector>
auto inspect(Inspector &inspector, LeaseAnswer &answer)
{
    return inspector(answer.customer, answer.sequence, answer.tokens, answer.deniedFor, answer.retryAfter);
}

template <typename Inspector>
auto inspect(Inspector &inspector, LeaseReturn &returned)
{
    return inspector(returned.customer, returned.sequence, returned.tokens);
}

template <typename Inspector>
auto inspect(Inspector &inspector, LeaseMessage &message)
{
    return inspector(message.revision, message.requests, message.answers, message.returns);
}

}
