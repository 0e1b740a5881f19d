#pragma once

#include "adapters/http/asio.h"
#include "common/identifiers.h"

#include <boost/intrusive/list.hpp>
#include <functional>
#include <memory>

namespace Galenahill {

class Deadline;

// Looks through the deadlines it watches when the nearest of them is due, with
// one timer for all of them and none while no deadline is set. A deadline
// passes up to one step late.
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

// The time limit of one connection's present work. Setting it is an assignment
// and a comparison; the timer moves only if no watched deadline is as near, so
// that most calls cost none.
class Deadline : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    Deadline() = default;
    ~Deadline();
    Deadline(const Deadline &) = delete;
    Deadline &operator=(const Deadline &) = delete;

    // Called once when the time has passed; ends the waiting operations.
    std::function<void()> expire;

    void set(TimePoint when);

    // Ends the watching. Once nothing is watched the timer is given up, so that
    // it doesn't keep an otherwise finished context running.
    void release();

    void clear()
    {
        m_at = TimePoint::max();
        m_passed = false;
    }

    // Whether the time set last has passed.
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
