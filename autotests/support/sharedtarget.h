#pragma once

#include "core/calls/callqueue.h"
#include "core/customers/customershares.h"

#include <map>
#include <vector>

namespace Galenahill {

// A target with slots in model time, whose queue decides as a sidecar's: ordered by urgency, with calls
// rejected that cannot start in time.
class SharedTarget
{
public:
    struct Call
    {
        std::size_t customer = 0;
        std::chrono::microseconds serviceTime{0};
        std::uint32_t priority = 0;
    };

    struct Options
    {
        std::uint32_t slots = 18;
        std::chrono::microseconds serviceTime{330000};
        std::chrono::microseconds maxWait{570000};
        std::size_t capacity = 64;
        bool shares = true;
    };

    SharedTarget(Options options, std::vector<CustomerName> customers);

    // Runs the calls that end before `now`, then takes the call.
    void arrive(const Call &call, TimePoint now);

    // Calls of each customer that were started, or rejected, since the last reset.
    const std::vector<std::uint64_t> &started() const;
    const std::vector<std::uint64_t> &rejected() const;
    void resetCounts();

private:
    struct Queued
    {
        Call call;
        TimePoint startBy;
    };

    void advance(TimePoint now);
    void start(const Call &call, TimePoint now);
    void reject(QueueTicket ticket, TimePoint now);
    void rejectUnschedulable(TimePoint now);

    Options m_options;
    std::vector<CustomerName> m_names;
    CustomerShares m_shares{{}};
    CallQueue m_queue;
    TimePoint m_now;
    std::multimap<TimePoint, Call> m_running;
    std::map<std::uint64_t, Queued> m_queued;
    std::uint64_t m_nextTicket = 1;
    std::vector<std::uint64_t> m_started;
    std::vector<std::uint64_t> m_rejected;
};

}
