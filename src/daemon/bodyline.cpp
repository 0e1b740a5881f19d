#include "daemon/bodyline.h"

#include <algorithm>

namespace Galenahill {

// A body that waits for the link.
struct BodyLine::Waiter
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

BodyLine::BodyLine(asio::io_context &context, LinkSchedule::Options options)
    : m_context(context)
    , m_schedule(options)
{
}

bool BodyLine::free() const
{
    return m_waiting.empty() && m_schedule.free();
}

TimePoint BodyLine::arrival(std::uint64_t bytes) const
{
    return m_schedule.arrival(bytes, Clock::now());
}

asio::awaitable<bool> BodyLine::enter(std::uint64_t bytes, ServerConnection &connection)
{
    if (free()) {
        m_schedule.begin(bytes, Clock::now());
        co_return true;
    }
    const auto waiter = std::make_shared<Waiter>(m_context, bytes);
    m_waiting.push_back(waiter);
    m_schedule.wait(bytes);
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

void BodyLine::leave()
{
    m_schedule.end(Clock::now());
    admitNext();
}

void BodyLine::admitNext()
{
    while (!m_waiting.empty() && m_schedule.free()) {
        const auto next = m_waiting.front();
        remove(next);
        next->admitted = true;
        m_schedule.begin(next->bytes, Clock::now());
    }
}

// Removes the body from the queue and resumes its waiter, which counts as rejected unless `admitted`
// is set.
void BodyLine::remove(const std::shared_ptr<Waiter> &waiter)
{
    const auto found = std::find(m_waiting.begin(), m_waiting.end(), waiter);
    if (found != m_waiting.end()) {
        m_waiting.erase(found);
        m_schedule.waitEnded(waiter->bytes);
        waiter->timer.cancel();
    }
}

void BodyLine::refuseWaiting()
{
    while (!m_waiting.empty()) {
        remove(m_waiting.front());
    }
}

}
