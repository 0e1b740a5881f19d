#pragma once

#include "common/identifiers.h"

#include <random>
#include <unordered_map>

namespace Galenahill {

// Chooses after which time rejected callers should retry: when the backlog of the service is served, and
// one after the other. Callers that return together would find the slots that are free then taken by
// each other.
class RetryAfter
{
public:
    explicit RetryAfter(std::uint64_t seed);

    // A call to the service was answered. The rate of these calls is the share of the service's capacity
    // that the callers of this node get.
    void callAnswered(const ServiceName &service, TimePoint now);

    struct Rejection
    {
        ServiceName service;
        // Wait for a slot at the service's targets, as far as is known.
        Milliseconds backlog{0};
        // Time that the caller has left.
        Milliseconds timeLeft{0};
        // Time within which the caller has to return to be answered within its objective; zero if it cannot
        // be or there is none.
        Milliseconds returnWithin{0};
        // Whether the caller is expected to return. If not, no later caller is told to make room for it.
        bool willReturn = true;
    };

    // Time after which a caller that is rejected now should find a free slot.
    Milliseconds delay(const Rejection &rejection, TimePoint now);

    // Time between two callers of this node that are told to return to the service; zero if unknown.
    std::chrono::microseconds spacing(const ServiceName &service, TimePoint now) const;

private:
    struct Service
    {
        // Number of answered calls, weighted by their age.
        double answered = 0;
        TimePoint lastAnswered;
        // Time from which the next caller is told to return.
        TimePoint nextReturn;
    };

    Service &serviceOf(const ServiceName &service);

    std::mt19937_64 m_random;
    std::unordered_map<ServiceName, Service> m_services;
};

}
