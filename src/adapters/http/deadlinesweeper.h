#pragma once

#include "adapters/http/asio.h"
#include "common/identifiers.h"

#include <boost/intrusive/list.hpp>
#include <functional>
#include <memory>

namespace Galenahill {

class Deadline;

// Expires the deadlines that it watches, with a single timer for all of them, and none while
// no deadline is set. A deadline may expire up to one step late.
class DeadlineSweeper
{
public:
    DeadlineSweeper(asio::io_context &context, Milliseconds step);
    ~DeadlineSweeper();

    // Watches the deadline until it is unlinked or destroyed.
    void watch(Deadline &deadline);

private:
    friend class Deadline;
    class Private;
    std::shared_ptr<Private> d;
};

// The time limit of a connection's current operation. Setting it is an assignment and a
// comparison; the timer is rescheduled only if this deadline becomes the earliest one, which
// is rare.
class Deadline : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    Deadline() = default;
    ~Deadline();
    Deadline(const Deadline &) = delete;
    Deadline &operator=(const Deadline &) = delete;

    // Called once when the deadline passes; ends the pending operations.
    std::function<void()> expire;

    void set(TimePoint when);

    // Stops watching the deadline. The timer is cancelled once no deadline is watched, so that
    // it doesn't keep an otherwise finished context running.
    void release();

    void clear()
    {
        m_at = TimePoint::max();
        m_passed = false;
    }

    // Whether the deadline that was set last has passed.
    bool passed() const
    {
        return m_passed;
    }

private:
    friend class DeadlineSweeper;

    TimePoint m_at = TimePoint::max();
    bool m_passed = false;
    std::weak_ptr<DeadlineSweeper::Private> m_sweeper;
};

}
