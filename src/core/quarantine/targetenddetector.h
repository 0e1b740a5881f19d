#pragma once

#include "common/identifiers.h"
#include "core/quarantine/requestdigest.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace Galenahill {

// Keeps the requests that the local target may be executing, so that those which were running when it ended are known.
// Callers pass the time in.
class TargetEndDetector
{
public:
    // Numbers the requests that were sent to the target.
    using Ticket = std::uint64_t;

    // For a request whose content is not known.
    static constexpr Ticket NoTicket = 0;

    // The request is being sent to the target.
    Ticket started(RequestDigest digest);

    // The request was not sent, or the target responded to it.
    void notSent(Ticket ticket);
    void answered(Ticket ticket, TimePoint now);

    // The request was given up, at its deadline or by its caller; the target may go on with it.
    void abandoned(Ticket ticket, TimePoint now);

    // The connection ended without a response. Returns false if the request is part of an end that has been taken
    // already.
    bool lost(Ticket ticket, TimePoint now);

    // Whether the request is not part of an end yet.
    bool isPending(Ticket ticket) const;

    // Number of requests that wait for a response.
    std::size_t running() const;

    // The target has ended: returns the requests that may have been running, each once, and forgets them. Empty if none
    // was.
    std::vector<RequestDigest> takeSuspects(TimePoint now);

private:
    struct Request
    {
        RequestDigest digest;
        // When its connection was lost; the end of time while a response is expected.
        TimePoint lostAt = TimePoint::max();
    };

    struct Abandoned
    {
        RequestDigest digest;
        TimePoint at;
    };

    void removeLostBefore(TimePoint time);

    std::unordered_map<Ticket, Request> m_requests;
    std::size_t m_lost = 0;
    std::deque<Abandoned> m_abandoned;
    Ticket m_nextTicket = 1;
};

}
