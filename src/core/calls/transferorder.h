#pragma once

#include "common/identifiers.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Galenahill {

// Identifies a call in a ResponseSchedule. Zero: none.
using ResponseTicket = StrongType<std::uint64_t, struct ResponseTicketTag>;

// The order in which produced responses use a link. As many as possible meet their deadlines, and of
// those as many as possible their objectives. Responses that are being sent and would miss their deadlines
// if they waited any longer go first, then those that can be on time, then late ones, the shortest first.
// Those that cannot meet their deadlines go last, but are sent when nothing else wants the link.
class TransferOrder
{
public:
    struct Transfer
    {
        ResponseTicket ticket;
        TimePoint objective;
        TimePoint deadline;
        // Time that the link takes for what is left of it.
        Clock::duration linkTime{0};
        // Whether a part of it has been sent.
        bool started = false;
    };

    enum class Rank {
        // Has been started, and would miss its deadline if it waited for another part.
        Urgent,
        OnTime,
        Late,
        // Cannot meet its deadline.
        Hopeless,
    };

    // A started transfer that can wait no longer than the margin is urgent.
    TransferOrder(std::vector<Transfer> transfers, TimePoint now, Clock::duration margin);

    const std::vector<ResponseTicket> &tickets() const;

    // Hopeless for a ticket that is not known.
    Rank rankOf(ResponseTicket ticket) const;

private:
    using DueTime = TimePoint Transfer::*;

    void rankFeasible(std::vector<Transfer> transfers, DueTime due, TimePoint begin, Rank rank);
    Clock::duration rankUrgent(std::vector<Transfer> transfers, TimePoint until);

    std::unordered_map<ResponseTicket, Rank> m_ranks;
    std::vector<ResponseTicket> m_tickets;
};

}
