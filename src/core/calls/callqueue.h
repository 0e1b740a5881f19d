#pragma once

#include "common/identifiers.h"

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace Galenahill {

// Names a waiting call.
using QueueTicket = StrongType<std::uint64_t, struct QueueTicketTag>;

// How urgent a waiting call is.
struct CallUrgency
{
    // Whether a call that is running elsewhere waits for it; such go first.
    bool forNewWork = true;
    // Rank of the call with which its chain of calls began; zero goes first.
    std::uint32_t priority = 0;
    // When it should have got its slot to be answered in time.
    TimePoint startBy = TimePoint::max();

    friend auto operator<=>(const CallUrgency &, const CallUrgency &) = default;
};

// Calls that wait for a slot of the target. By default shared fairly between
// routes: the next call is of the route that runs the fewest, and when the
// queue is full the route with the most waiting is shed from. So a route that
// floods the target fills only what the others leave. By urgency: the next
// call is the most urgent that can still be in time, and the least urgent
// is refused.
class CallQueue
{
public:
    struct Options
    {
        bool newestFirst = false;
        bool fairShares = true;
        bool byUrgency = false;
    };

    explicit CallQueue(Options options);

    // Adds a call and gives the one that must be refused for it, which may be
    // the call itself; nothing if there was room.
    std::optional<QueueTicket> push(QueueTicket ticket, const RouteName &route, std::size_t capacity, CallUrgency urgency = {});

    // Takes the next call out, or nothing if none waits.
    std::optional<QueueTicket> pop(TimePoint now = TimePoint());

    // How many waiting calls would go before one of that urgency.
    std::size_t ahead(const CallUrgency &urgency) const;

    // Takes out a call that won't get its slot by its time, if one slot comes
    // free in each interval; nothing if there is none. By urgency only.
    std::optional<QueueTicket> takeHopeless(TimePoint now, std::chrono::microseconds interval);

    void remove(QueueTicket ticket);
    std::size_t size() const;

    // A call of the route took a slot or left it.
    void started(const RouteName &route);
    void ended(const RouteName &route);

private:
    struct Waiting
    {
        QueueTicket ticket;
        RouteName route;
        CallUrgency urgency;
    };

    std::list<Waiting>::iterator mostUrgent(TimePoint now);
    std::size_t waiting(const RouteName &route) const;
    std::uint32_t running(const RouteName &route) const;

    Options m_options;
    // In order of arrival.
    std::list<Waiting> m_waiting;
    std::unordered_map<RouteName, std::uint32_t> m_running;
};

}
