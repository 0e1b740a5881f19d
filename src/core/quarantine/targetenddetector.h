#pragma once

#include "common/identifiers.h"
#include "core/quarantine/requestdigest.h"

#include <cstddef>
#include <cstdint>
#include <deque>
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

    // Whether the target may go on with a request that was given up.
    bool hasAbandoned(TimePoint now) const;

    // Number of requests that wait for a response.
    std::size_t running() const;

    // The target has ended: returns the requests that may have ended it, each once, and forgets all. Requests with the
    // content of one that the target has just answered are left out: many callers send them, so they are running whenever a
    // target ends.
    std::vector<RequestDigest> takeSuspects(TimePoint now);

private:
    struct Request
    {
        Ticket ticket = NoTicket;
        RequestDigest digest;
        // When its connection was lost; the end of time while a response is expected.
        TimePoint lostAt = TimePoint::max();
    };

    struct EndedRequest
    {
        RequestDigest digest;
        TimePoint at;
    };

    void removeLostBefore(TimePoint time);
    void recordAnswer(RequestDigest digest, TimePoint now);
    bool wasJustAnswered(RequestDigest digest, TimePoint now) const;

    Request *find(Ticket ticket);
    void erase(Ticket ticket);

    // As many as the target runs at a time, and a few whose connections were lost.
    std::vector<Request> m_requests;
    std::size_t m_lost = 0;
    std::deque<EndedRequest> m_abandoned;
    // The last answers of the target; the next one replaces the oldest.
    std::vector<EndedRequest> m_answers;
    std::size_t m_nextAnswer = 0;
    Ticket m_nextTicket = 1;
};

}
