#include "adapters/http/deadlinesweeper.h"

#include <algorithm>

namespace Galenahill {

class DeadlineSweeper::Private : public std::enable_shared_from_this<DeadlineSweeper::Private>
{
public:
    Private(asio::io_context &context, Milliseconds sweepStep)
        : timer(context)
        , step(sweepStep)
    {
    }

    using List = boost::intrusive::list<Deadline, boost::intrusive::constant_time_size<false>>;

    asio::steady_timer timer;
    Milliseconds step;
    List watched;
    // When the timer fires; TimePoint::max() while it doesn't run.
    TimePoint next = TimePoint::max();

    void scheduleAt(TimePoint when);
    void sweep();
};

DeadlineSweeper::DeadlineSweeper(asio::io_context &context, Milliseconds step)
    : d(std::make_shared<Private>(context, step))
{
}

DeadlineSweeper::~DeadlineSweeper()
{
    d->timer.cancel();
}

void DeadlineSweeper::watch(Deadline &deadline)
{
    if (!deadline.is_linked()) {
        d->watched.push_back(deadline);
        deadline.m_sweeper = d;
    }
    d->scheduleAt(deadline.m_at);
}

// Schedules the timer for that deadline, but at least one step ahead, so that deadlines close
// to each other share one wake-up.
void DeadlineSweeper::Private::scheduleAt(TimePoint when)
{
    if (when >= next || when == TimePoint::max()) {
        return;
    }
    next = std::max<TimePoint>(when, Clock::now() + step);
    timer.expires_at(next);
    timer.async_wait([weak = weak_from_this()](ErrorCode error) {
        if (const auto self = weak.lock(); self && !error) {
            self->sweep();
        }
    });
}

void DeadlineSweeper::Private::sweep()
{
    const auto now = Clock::now();
    next = TimePoint::max();
    auto earliest = TimePoint::max();
    for (auto deadline = watched.begin(); deadline != watched.end();) {
        auto &current = *deadline++;
        if (current.m_at <= now) {
            current.m_at = TimePoint::max();
            current.m_passed = true;
            current.expire();
        }
    }
    for (const auto &deadline : watched) {
        earliest = std::min(earliest, deadline.m_at);
    }
    scheduleAt(earliest);
}

Deadline::~Deadline()
{
    release();
}

void Deadline::release()
{
    clear();
    if (!is_linked()) {
        return;
    }
    unlink();
    if (const auto sweeper = m_sweeper.lock(); sweeper && sweeper->watched.empty()) {
        sweeper->next = TimePoint::max();
        sweeper->timer.cancel();
    }
}

void Deadline::set(TimePoint when)
{
    m_at = when;
    m_passed = false;
    if (is_linked()) {
        if (const auto sweeper = m_sweeper.lock()) {
            sweeper->scheduleAt(when);
        }
    }
}

}
