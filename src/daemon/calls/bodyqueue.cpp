#include "daemon/calls/bodyqueue.h"

#include <algorithm>

namespace Galenahill {

// A body that waits for the link.
struct BodyQueue::Waiter
{
    Waiter(asio::io_context &context, std::uint64_t size)
        : timer(context, TimePoint::max())
        , bytes(size)
    {
    }

    asio::steady_timer timer;
    std::uint64_t bytes;
    bool admitted = false;
};

BodyQueue::BodyQueue(asio::io_context &context, LinkSchedule::Options options)
    : m_context(context)
    , m_schedule(options)
{
}

bool BodyQueue::canBegin() const
{
    return m_waiting.empty() && m_schedule.canBegin();
}

TimePoint BodyQueue::expectedArrival(std::uint64_t bytes) const
{
    return m_schedule.expectedArrival(bytes, Clock::now());
}

asio::awaitable<bool> BodyQueue::waitForTransfer(std::uint64_t bytes, ServerConnection &connection)
{
    if (canBegin()) {
        m_schedule.beginTransfer(bytes, Clock::now());
        co_return true;
    }
    const auto waiter = std::make_shared<Waiter>(m_context, bytes);
    m_waiting.push_back(waiter);
    m_schedule.addWaiting(bytes);
    connection.cancellation().setHook([weak = weak_from_this(), waiter] {
        if (const auto self = weak.lock()) {
            self->remove(waiter);
        }
    });
    ErrorCode ignored;
    co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    connection.cancellation().setHook(nullptr);
    co_return waiter->admitted;
}

void BodyQueue::endTransfer()
{
    m_schedule.endTransfer(Clock::now());
    admitNext();
}

void BodyQueue::admitNext()
{
    while (!m_waiting.empty() && m_schedule.canBegin()) {
        const auto next = m_waiting.front();
        remove(next);
        next->admitted = true;
        m_schedule.beginTransfer(next->bytes, Clock::now());
    }
}

// Removes the body from the queue and resumes its waiter, which counts as rejected unless `admitted`
// is set.
void BodyQueue::remove(const std::shared_ptr<Waiter> &waiter)
{
    const auto found = std::find(m_waiting.begin(), m_waiting.end(), waiter);
    if (found != m_waiting.end()) {
        m_waiting.erase(found);
        m_schedule.removeWaiting(waiter->bytes);
        waiter->timer.cancel();
    }
}

void BodyQueue::rejectWaiting()
{
    while (!m_waiting.empty()) {
        remove(m_waiting.front());
    }
}

}
