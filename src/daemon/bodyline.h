#pragma once

#include "adapters/http/serverconnection.h"
#include "core/calls/linkschedule.h"

#include <deque>
#include <memory>

namespace Galenahill {

// The bodies that other nodes want to send to this one, and the line before its
// link. In order of arrival. Used on the data thread only.
class BodyLine : public std::enable_shared_from_this<BodyLine>
{
public:
    BodyLine(asio::io_context &context, LinkSchedule::Options options);

    // Whether a body could begin at once, and when one of that size that came
    // now would be here.
    bool free() const;
    TimePoint arrival(std::uint64_t bytes) const;

    // Waits until the body may come; false if it was refused, or the
    // caller has gone.
    asio::awaitable<bool> enter(std::uint64_t bytes, ServerConnection &connection);

    // The body has come, or won't come.
    void leave();

    // Refuses the bodies that wait.
    void refuseWaiting();

private:
    struct Waiter;

    void admitNext();
    void drop(const std::shared_ptr<Waiter> &waiter);

    asio::io_context &m_context;
    LinkSchedule m_schedule;
    std::deque<std::shared_ptr<Waiter>> m_waiting;
};

}
