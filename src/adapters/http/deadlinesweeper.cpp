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
    // When the timer strikes; the end of time while it doesn't run.
    TimePoint next = TimePoint::max();

    void needAt(TimePoint when);
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
    d->needAt(deadline.m_at);
}

// Makes the timer strike when that deadline is due, but not before a step is
// over: deadlines that lie close together then share one wake-up.
void DeadlineSweeper::Private::needAt(TimePoint when)
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
    auto nearest = TimePoint::max();
    for (auto deadline = watched.begin(); deadline != watched.end();) {
        auto &present = *deadline++;
        if (present.m_at <= now) {
            present.m_at = TimePoint::max();
            present.m_passed = true;
            present.expire();
        }
    }
    for (const auto &deadline : watched) {
        nearest = std::min(nearest, deadline.m_at);
    }
    needAt(nearest);
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
            sweeper->needAt(when);
        }
    }
}

}
