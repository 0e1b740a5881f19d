#pragma once

#include "adapters/http/asio.h"
#include "common/identifiers.h"

#include <boost/intrusive/list.hpp>
#include <functional>
#include <memory>

namespace Galenahill {

// The time limit of one connection's present work. Setting it is a plain
// assignment, so that a call costs no timer.
class Deadline : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    // Called once when the time has passed; ends the waiting operations.
    std::function<void()> expire;

    void set(TimePoint when)
    {
        m_at = when;
        m_passed = false;
    }

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
};

// Looks through the deadlines it watches at a fixed step, with one timer for
// all of them and none while it watches nothing. A deadline passes up to one
// step late.
class DeadlineSweeper
{
public:
    DeadlineSweeper(asio::io_context &context, Milliseconds step);
    ~DeadlineSweeper();

    // Watches the deadline until it is unlinked or destroyed.
    void watch(Deadline &deadline);

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
