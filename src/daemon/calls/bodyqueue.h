#pragma once

#include "adapters/http/serverconnection.h"
#include "core/calls/linkschedule.h"

#include <deque>
#include <memory>

namespace Galenahill {

// Queue of the request bodies that other nodes offer to send over this VM's inbound link, in order of
// arrival. Used on the data thread only.
class BodyQueue : public std::enable_shared_from_this<BodyQueue>
{
public:
    BodyQueue(asio::io_context &context, LinkSchedule::Options options);

    // Whether a body could start at once, and the expected time at which a body of that size, offered
    // now, would be complete.
    bool canBegin() const;
    TimePoint expectedArrival(std::uint64_t bytes) const;

    // Waits until the body may start. Returns false if it was rejected or its caller disconnected.
    asio::awaitable<bool> waitForTransfer(std::uint64_t bytes, ServerConnection &connection);

    // Records that a body has arrived or was interrupted.
    void endTransfer();

    // Rejects the bodies that wait.
    void rejectWaiting();

private:
    struct Waiter;

    void admitNext();
    void remove(const std::shared_ptr<Waiter> &waiter);

    asio::io_context &m_context;
    LinkSchedule m_schedule;
    std::deque<std::shared_ptr<Waiter>> m_waiting;
};

}
