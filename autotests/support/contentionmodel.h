#pragma once

#include "core/calls/callqueue.h"
#include "core/calls/servicetimes.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace Galenahill::Test {

// Open-loop load of several routes on the slots of one target, in model time. Calls queue by urgency
// with the production queue, and are admitted as by the sidecar's SlotQueue. The result depends on the
// options and the seed only.
class ContentionModel
{
public:
    struct Route
    {
        std::string name;
        double callsPerSecond = 1;
        double serviceMs = 100;
        Milliseconds objective{1000};
        std::uint32_t priority = 0;
        bool isNested = false;
        // Factor of the arrival rate during the burst.
        double burst = 1;
        // Time that callers give a call.
        Milliseconds deadline{10000};
    };

    struct Options
    {
        std::uint64_t seed = 1;
        std::uint32_t slots = 18;
        std::vector<Route> routes;
        Milliseconds length{60000};
        Milliseconds burstFrom{20000};
        Milliseconds burstUntil{24000};
        // How long a top-level call may wait. If null, only its objective limits the wait.
        std::function<Milliseconds(const Route &route)> waitBound;
        // Called with the service time of each answered call. May be null.
        std::function<void(const Route &route, std::chrono::microseconds serviceTime)> answered;
        // Called with each call that gets a slot. May be null.
        std::function<void(const Route &route, TimePoint now)> started;
        // The time after which a rejected caller returns, once, given its expected wait and the time that it
        // has left. If null, callers do not return.
        std::function<Milliseconds(const Route &route, Milliseconds expectedWait, Milliseconds left)> returnAfter;
        // How long the caller of a call with that much time left waited before. May be null.
        std::function<Milliseconds(const Route &route, Milliseconds left, TimePoint now)> waitedBefore;
        // Number of slots that top-level calls leave free or to nested calls. May be null.
        std::function<std::uint32_t(TimePoint now)> reserved;
        // Mean time between two slots that become free for top-level calls; zero if it is that of all
        // calls. May be null.
        std::function<std::chrono::microseconds(TimePoint now)> topLevelInterval;
    };

    struct Result
    {
        std::size_t calls = 0;
        std::size_t inTime = 0;
        std::size_t late = 0;
        // Calls that were rejected and did not return, and of those the ones that had returned.
        std::size_t rejected = 0;
        std::size_t rejectedAgain = 0;
        std::size_t returned = 0;
        // Latencies of the answered calls in milliseconds.
        std::vector<double> latencies;
        // The same of the calls that arrived during the burst.
        std::vector<double> burstLatencies;

        double servedInTime() const
        {
            return static_cast<double>(inTime) / static_cast<double>(calls);
        }

        double mean() const
        {
            double sum = 0;
            for (const auto latency : latencies) {
                sum += latency;
            }
            return sum / static_cast<double>(latencies.size());
        }

        static double p99(std::vector<double> values)
        {
            if (values.empty()) {
                return 0;
            }
            std::sort(values.begin(), values.end());
            return values[values.size() * 99 / 100];
        }
    };

    explicit ContentionModel(Options options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
    {
    }

    std::map<std::string, Result> run()
    {
        for (std::size_t route = 0; route < m_options.routes.size(); ++route) {
            scheduleArrival(route);
        }
        while (!m_events.empty()) {
            const auto event = m_events.top();
            m_events.pop();
            account(event.at);
            m_now = event.at;
            event.act();
        }
        return m_results;
    }

    // Mean number of slots that were free while top-level calls waited, over the whole run.
    double meanIdleSlots() const
    {
        return m_idle / std::chrono::duration<double>(m_options.length).count();
    }

private:
    struct Call
    {
        std::size_t route = 0;
        // Arrival of the first attempt.
        TimePoint arrived;
        bool isReturned = false;
        CallUrgency urgency;
    };

    struct Event
    {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> act;

        friend bool operator<(const Event &left, const Event &right)
        {
            return std::tie(left.at, left.order) > std::tie(right.at, right.order);
        }
    };

    const Route &routeOf(const Call &call) const
    {
        return m_options.routes[call.route];
    }

    void at(TimePoint when, std::function<void()> act)
    {
        m_events.push({when, m_nextEvent++, std::move(act)});
    }

    bool inBurst(TimePoint when) const
    {
        return when >= m_start + m_options.burstFrom && when < m_start + m_options.burstUntil;
    }

    void account(TimePoint next)
    {
        if (m_waitingTopLevel > 0 && m_running < m_options.slots) {
            m_idle += (m_options.slots - m_running) * std::chrono::duration<double>(next - m_now).count();
        }
    }

    void scheduleArrival(std::size_t index)
    {
        const auto &route = m_options.routes[index];
        const auto rate = route.callsPerSecond * (inBurst(m_now) ? route.burst : 1) / 1e6;
        const auto when = m_now + std::chrono::microseconds(static_cast<std::int64_t>(std::exponential_distribution<double>(rate)(m_random)) + 1);
        if (when - m_start >= m_options.length) {
            return;
        }
        at(when, [this, index] {
            ++m_results[m_options.routes[index].name].calls;
            arrive({.route = index, .arrived = m_now});
            scheduleArrival(index);
        });
    }

    std::uint32_t reserved() const
    {
        return m_options.reserved ? std::min(m_options.reserved(m_now), m_options.slots) : 0;
    }

    bool canStart(bool isNested) const
    {
        return m_running < m_options.slots && (isNested || m_runningTopLevel < m_options.slots - reserved());
    }

    std::chrono::microseconds interval(bool isNested) const
    {
        const auto topLevel = isNested || !m_options.topLevelInterval ? std::chrono::microseconds(0) : m_options.topLevelInterval(m_now);
        return topLevel.count() > 0 ? topLevel : m_times.average() / m_options.slots;
    }

    void arrive(Call call)
    {
        const auto &route = routeOf(call);
        const auto needed = std::chrono::microseconds(static_cast<std::int64_t>(route.serviceMs * 1000 * LatencyMargin));
        auto startBy = m_now + (route.isNested ? NestedDeadline : route.objective) - needed;
        if (!route.isNested && m_options.waitBound) {
            startBy = std::min<TimePoint>(startBy, m_now + m_options.waitBound(route));
        }
        call.urgency = {.isTopLevel = !route.isNested, .priority = route.priority, .startBy = startBy};
        if (m_options.waitedBefore && !route.isNested) {
            call.urgency.waitedBefore = m_options.waitedBefore(route, leftOf(call), m_now);
        }
        const bool isNext = m_waiting.empty() || (route.isNested && m_waitingTopLevel == m_waiting.size());
        if (isNext && canStart(route.isNested)) {
            start(call);
            return;
        }
        if (m_now + interval(route.isNested) * static_cast<int>(m_queue.countAhead(call.urgency) + 1) >= startBy) {
            reject(call);
            return;
        }
        enqueue(call);
    }

    void enqueue(const Call &call)
    {
        const QueueTicket ticket(m_nextTicket++);
        m_waiting.emplace(ticket.value(), call);
        m_waitingTopLevel += call.urgency.isTopLevel ? 1 : 0;
        if (const auto rejected = m_queue.push(ticket, RouteName(routeOf(call).name), MaxWaiting, call.urgency)) {
            reject(*rejected);
        }
        while (const auto late = m_queue.popUnschedulable(m_now, interval(false), interval(true))) {
            reject(*late);
        }
        at(call.urgency.startBy, [this, ticket] {
            if (m_waiting.count(ticket.value()) > 0) {
                m_queue.remove(ticket);
                reject(ticket);
            }
        });
    }

    Call takeWaiting(QueueTicket ticket)
    {
        const auto call = m_waiting.extract(ticket.value()).mapped();
        m_waitingTopLevel -= call.urgency.isTopLevel ? 1 : 0;
        return call;
    }

    void reject(QueueTicket ticket)
    {
        reject(takeWaiting(ticket));
    }

    Milliseconds leftOf(const Call &call) const
    {
        return std::chrono::duration_cast<Milliseconds>(call.arrived + routeOf(call).deadline - m_now);
    }

    void reject(Call call)
    {
        const auto &route = routeOf(call);
        auto &result = m_results[route.name];
        if (call.isReturned || route.isNested || !m_options.returnAfter) {
            ++result.rejected;
            result.rejectedAgain += call.isReturned ? 1 : 0;
            return;
        }
        ++result.returned;
        call.isReturned = true;
        const auto wait = interval(false) * static_cast<int>(m_queue.countAhead(call.urgency) + 1);
        const auto delay = m_options.returnAfter(route, std::chrono::duration_cast<Milliseconds>(wait), leftOf(call));
        at(m_now + std::clamp(delay, Milliseconds(1), leftOf(call) / 3), [this, call] { arrive(call); });
    }

    void start(const Call &call)
    {
        if (m_options.started) {
            m_options.started(routeOf(call), m_now);
        }
        ++m_running;
        m_runningTopLevel += call.urgency.isTopLevel ? 1 : 0;
        constexpr double Spread = 0.3;
        std::lognormal_distribution<double> time(std::log(routeOf(call).serviceMs * 1000) - Spread * Spread / 2, Spread);
        const std::chrono::microseconds serviceTime(static_cast<std::int64_t>(time(m_random)));
        at(m_now + serviceTime, [this, call, serviceTime] { finish(call, serviceTime); });
    }

    void finish(const Call &call, std::chrono::microseconds serviceTime)
    {
        const auto &route = routeOf(call);
        --m_running;
        m_runningTopLevel -= call.urgency.isTopLevel ? 1 : 0;
        m_times.record(RouteName(route.name), serviceTime);
        auto &result = m_results[route.name];
        const auto latency = m_now - call.arrived;
        ++(latency <= route.objective ? result.inTime : result.late);
        result.latencies.push_back(std::chrono::duration<double, std::milli>(latency).count());
        if (inBurst(call.arrived)) {
            result.burstLatencies.push_back(result.latencies.back());
        }
        if (m_options.answered) {
            m_options.answered(route, serviceTime);
        }
        admitWaiting();
    }

    void admitWaiting()
    {
        while (!m_waiting.empty()) {
            const bool anyCall = canStart(false);
            if (!anyCall && (m_queue.nestedCount() == 0 || !canStart(true))) {
                return;
            }
            start(takeWaiting(*(anyCall ? m_queue.pop(m_now) : m_queue.popNested())));
        }
    }

    static constexpr double LatencyMargin = 1.3;
    static constexpr Milliseconds NestedDeadline{1000};
    static constexpr std::size_t MaxWaiting = 64;

    Options m_options;
    std::mt19937_64 m_random;
    TimePoint m_start{Milliseconds(1'000'000)};
    TimePoint m_now = m_start;
    CallQueue m_queue{{.byUrgency = true}};
    ServiceTimes m_times;
    std::map<std::uint64_t, Call> m_waiting;
    std::size_t m_waitingTopLevel = 0;
    std::uint32_t m_running = 0;
    std::uint32_t m_runningTopLevel = 0;
    double m_idle = 0;
    std::priority_queue<Event> m_events;
    std::uint64_t m_nextEvent = 0;
    std::uint64_t m_nextTicket = 0;
    std::map<std::string, Result> m_results;
};

}
