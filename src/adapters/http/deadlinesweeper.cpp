#include "adapters/http/deadlinesweeper.h"

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
    bool running = false;

    void schedule();
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
    }
    if (!d->running) {
        d->schedule();
    }
}

void DeadlineSweeper::Private::schedule()
{
    running = true;
    timer.expires_after(step);
    timer.async_wait([weak = weak_from_this()](ErrorCode error) {
        if (const auto self = weak.lock(); self && !error) {
            self->sweep();
        }
    });
}

void DeadlineSweeper::Private::sweep()
{
    const auto now = Clock::now();
    for (auto &deadline : watched) {
        if (deadline.m_at <= now) {
            deadline.m_at = TimePoint::max();
            deadline.m_passed = true;
            deadline.expire();
        }
    }
    running = false;
    if (!watched.empty()) {
        schedule();
    }
}

}
