#pragma once

#include "common/identifiers.h"

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <tuple>
#include <unordered_map>

namespace Galenahill {

// Identifies a queued call.
using QueueTicket = StrongType<std::uint64_t, struct QueueTicketTag>;

// Sort key of a queued call; the lowest goes first.
struct CallUrgency
{
    // False for a nested call, whose parent call is running and waits for it; such calls go first.
    bool isTopLevel = true;
    // Priority of the call at the root of the call tree; zero goes first.
    std::uint32_t priority = 0;
    // Whether the call's customer is above its fair share of the target's slot time.
    bool aboveShare = false;
    // The latest time to get a slot and still be answered within the objective.
    TimePoint startBy = TimePoint::max();
    // How long the caller waited before it returned with this call. That time counts for the order of
    // calls only, so that a returning call is never rejected where a new one would not be.
    Milliseconds waitedBefore{0};

    friend auto operator<=>(const CallUrgency &left, const CallUrgency &right)
    {
        const auto key = [](const CallUrgency &urgency) {
            return std::tuple(urgency.isTopLevel, urgency.priority, urgency.aboveShare, urgency.startBy - urgency.waitedBefore);
        };
        return key(left) <=> key(right);
    }

    friend bool operator==(const CallUrgency &left, const CallUrgency &right)
    {
        return (left <=> right) == 0;
    }
};

// Calls that wait for a slot of the target. By default the queue is shared fairly between routes:
// the next call comes from the route with the fewest running calls, and a full queue drops a call
// of the route with the most queued. So a route that floods the target uses only what the others
// leave. Ordered by urgency instead, the next call is the most urgent one that can still meet its
// objective, and a full queue drops the least urgent one: of the lowest priority, a call of the
// customer that is furthest above its fair share.
class CallQueue
{
public:
    struct Options
    {
        bool newestFirst = false;
        bool fairShares = true;
        bool byUrgency = false;
        // Slot time by which a customer is above its fair share of the target; zero if it is not.
        // Null: customers have no shares. Nested calls are not ordered by it, since the work of
        // their parent calls would be lost.
        std::function<std::chrono::microseconds(const CustomerName &customer)> excess;
    };

    explicit CallQueue(Options options);

    // Adds a call and returns the one to reject in exchange, which may be the new call itself;
    // nothing if the queue was not full.
    std::optional<QueueTicket> push(
        QueueTicket ticket, const RouteName &route, std::size_t capacity, CallUrgency urgency = {}, const CustomerName &customer = {});

    // Removes and returns the next call; nothing if the queue is empty.
    std::optional<QueueTicket> pop(TimePoint now = TimePoint());

    // Removes and returns the most urgent nested call; nothing if none is queued.
    std::optional<QueueTicket> popNested();

    // Number of queued nested calls.
    std::size_t nestedCount() const;

    // Number of queued calls that go before, or have, that urgency; all of them unless ordered by urgency.
    std::size_t countAhead(const CallUrgency &urgency) const;

    // Removes and returns a call that cannot get a slot by its latest start if one slot is freed per
    // interval; nothing if there is none. Only if ordered by urgency. Slots are freed for nested calls
    // at another interval than for top-level calls if slots are reserved for them.
    std::optional<QueueTicket> popUnschedulable(TimePoint now, std::chrono::microseconds interval);
    std::optional<QueueTicket> popUnschedulable(TimePoint now, std::chrono::microseconds interval, std::chrono::microseconds nestedInterval);

    void remove(QueueTicket ticket);
    std::size_t size() const;

    // A call of the route took or released a slot.
    void callStarted(const RouteName &route);
    void callEnded(const RouteName &route);

private:
    struct Waiting
    {
        QueueTicket ticket;
        RouteName route;
        CallUrgency urgency;
        CustomerName customer;
        // How far the customer is above its share.
        std::chrono::microseconds excess{0};
    };

    void updateShares();
    std::list<Waiting>::iterator leastUrgent();
    std::list<Waiting>::iterator mostUrgent(TimePoint now);
    std::size_t waiting(const RouteName &route) const;
    std::uint32_t running(const RouteName &route) const;

    Options m_options;
    // In order of arrival.
    std::list<Waiting> m_waiting;
    std::unordered_map<RouteName, std::uint32_t> m_running;
};

}
