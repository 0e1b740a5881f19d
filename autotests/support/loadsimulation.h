#pragma once

#include "core/calls/offerorder.h"
#include "core/calls/retryafter.h"
#include "core/calls/targetpicker.h"
#include "core/fleet/loadexchange.h"
#include "loadsimulationoptions.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace Galenahill::Test {

// Simulation of one service of a fleet under open-loop load, in model time: an ingress on each VM
// chooses targets with the production classes, targets run calls in slots and queue them for a
// bounded time. The result depends on the options and the seed only.
class LoadSimulation
{
public:
    using Options = LoadSimulationOptions;
    using Result = LoadSimulationResult;

    explicit LoadSimulation(Options options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
    {
        for (std::size_t dataCentre = 0; dataCentre < m_options.dataCentres; ++dataCentre) {
            for (std::size_t i = 0; i < m_options.members; ++i) {
                addNode(dataCentre, i);
            }
        }
        connect();
    }

    Result run()
    {
        m_result.callsOf.resize(m_options.dataCentres);
        m_result.servedOf.resize(m_options.dataCentres);
        for (std::size_t dataCentre = 0; dataCentre < m_options.dataCentres; ++dataCentre) {
            scheduleArrival(dataCentre);
        }
        if (m_options.exchange) {
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                scheduleTick(i, Milliseconds(m_random() % 100));
            }
        }
        while (!m_events.empty() && m_events.top().at < m_start + 2 * m_options.length) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.act();
        }
        for (const auto &node : m_nodes) {
            if (node.hasTarget) {
                m_result.ranPerCapacity.push_back(node.ran / node.speed);
            }
        }
        return m_result;
    }

private:
    struct Call
    {
        std::size_t ingress = 0;
        // Arrival of the first attempt, and of this one.
        TimePoint firstBegin;
        TimePoint begin;
        OfferHistory offers;
        bool isReturned = false;
        // Whether the call returned early enough to be answered within its objective.
        bool goesFirst = false;
        std::optional<Milliseconds> reportedWait;
    };

    struct Node
    {
        MemberRecord record;
        bool hasTarget = false;
        double speed = 1;
        std::uint32_t running = 0;
        double ran = 0;
        std::deque<std::uint64_t> queue;
        std::unique_ptr<TargetPicker> picker;
        std::unique_ptr<RetryAfter> retryAfter;
        std::unique_ptr<LoadExchange> exchange;
    };

    struct QueuedCall
    {
        std::shared_ptr<Call> call;
        std::size_t target = 0;
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

    void addNode(std::size_t dataCentre, std::size_t index)
    {
        Node node;
        node.record.name = NodeName("vm-" + std::to_string(dataCentre) + "-" + std::to_string(index));
        node.record.dataCentre = DataCentre("dc-" + std::to_string(dataCentre));
        node.record.service = ServiceName(index < m_options.targets ? "board" : "other");
        node.record.address = "10." + std::to_string(dataCentre) + ".0." + std::to_string(index);
        node.record.controlPort = 7;
        node.record.incarnation = 1;
        node.record.state = MemberState::Ready;
        const bool missing = dataCentre == 0 && index < m_options.missing;
        node.hasTarget = index < m_options.targets && !missing;
        node.speed = m_options.speeds[index % m_options.speeds.size()];
        auto picker = m_options.picker;
        picker.dataCentre = node.record.dataCentre;
        picker.seed = m_options.seed + m_nodes.size();
        node.picker = std::make_unique<TargetPicker>(picker);
        node.retryAfter = std::make_unique<RetryAfter>(picker.seed);
        if (node.hasTarget) {
            m_targets.push_back(node.record);
            m_capacity += node.speed * m_options.slots * 1000 / m_options.workMs;
        }
        m_index[node.record.address] = m_nodes.size();
        m_nodes.push_back(std::move(node));
    }

    void connect()
    {
        std::vector<MemberRecord> members;
        for (const auto &node : m_nodes) {
            members.push_back(node.record);
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            auto &node = m_nodes[i];
            LoadExchange::Options options;
            options.self = node.record;
            options.seed = m_options.seed + i;
            options.localTargetLoad = [this, i] { return loadOf(m_nodes[i]); };
            options.send = [this, i](const Endpoint &to, const LoadReport &report) {
                if (m_now - m_start >= m_options.reportsLostFrom) {
                    return;
                }
                const auto receiver = m_index.at(to.address);
                const auto delay = latency(m_nodes[i], m_nodes[receiver]);
                at(m_now + delay, [this, i, receiver, report] { m_nodes[receiver].exchange->receive(m_nodes[i].record.control(), report, m_now); });
            };
            options.targetLoadReceived = [this, i](const NodeName &target, TargetLoad load, Milliseconds wait, TimePoint observed) {
                m_nodes[i].picker->updateTargetLoad(target, load, wait, observed);
            };
            options.poolLoadReceived = [this, i](const PoolReport &pool, TimePoint observed) {
                m_nodes[i].picker->updatePoolLoad(pool.dataCentre, pool.service, {pool.calls, pool.limit}, Milliseconds(pool.waitMs), observed);
            };
            node.exchange = std::make_unique<LoadExchange>(std::move(options));
            node.exchange->setMembers(members);
        }
    }

    void at(TimePoint when, std::function<void()> act)
    {
        m_events.push({when, m_nextEvent++, std::move(act)});
    }

    std::chrono::microseconds latency(const Node &from, const Node &to) const
    {
        return std::chrono::microseconds(from.record.dataCentre == to.record.dataCentre ? 200 : 700);
    }

    std::chrono::microseconds slotInterval(const Node &node) const
    {
        return std::chrono::microseconds(static_cast<std::int64_t>(m_options.workMs * 1000 / node.speed / m_options.slots));
    }

    LocalTargetLoad loadOf(const Node &node) const
    {
        if (!node.hasTarget) {
            return {};
        }
        const bool full = node.running >= m_options.slots;
        const auto wait = full ? slotInterval(node) * static_cast<int>(node.queue.size() + 1) : std::chrono::microseconds(0);
        return {{node.running + static_cast<std::uint32_t>(node.queue.size()), m_options.slots}, std::chrono::duration_cast<Milliseconds>(wait)};
    }

    void scheduleTick(std::size_t index, Milliseconds delay)
    {
        at(m_now + delay, [this, index] {
            m_nodes[index].exchange->tick(m_now);
            if (m_now - m_start < m_options.length) {
                scheduleTick(index, Milliseconds(100));
            }
        });
    }

    void scheduleArrival(std::size_t dataCentre)
    {
        const auto share = m_options.arrivals[dataCentre % m_options.arrivals.size()] / static_cast<double>(m_options.dataCentres);
        const auto time = m_now - m_start;
        const bool inBurst = m_options.burstLoad > 0 && time >= m_options.burstFrom && time < m_options.burstUntil;
        const auto rate = m_capacity * (inBurst ? m_options.burstLoad : m_options.load) * share / 1e6;
        std::exponential_distribution<double> gap(rate);
        const auto when = m_now + std::chrono::microseconds(static_cast<std::int64_t>(gap(m_random)) + 1);
        if (when - m_start >= m_options.length) {
            return;
        }
        at(when, [this, dataCentre] {
            const auto call = std::make_shared<Call>();
            call->ingress = dataCentre * m_options.members + m_random() % m_options.members;
            call->firstBegin = m_now;
            call->begin = m_now;
            ++m_result.calls;
            ++m_result.callsOf[dataCentre];
            offer(call);
            scheduleArrival(dataCentre);
        });
    }

    void offer(const std::shared_ptr<Call> &call)
    {
        auto &ingress = m_nodes[call->ingress];
        const auto next = nextOffer(*ingress.picker, m_targets, call->offers, {.dataCentre = ingress.record.dataCentre}, m_now);
        if (next.target == nullptr) {
            reject(call);
            return;
        }
        const auto target = m_index.at(next.target->address);
        ingress.picker->addInFlight(next.target->name, m_now);
        ++m_result.offers;
        m_result.remoteOffers += next.target->dataCentre != ingress.record.dataCentre ? 1 : 0;
        at(m_now + latency(ingress, m_nodes[target]), [this, call, target, mayWait = next.mayWait] { arrive(call, target, mayWait); });
    }

    void reject(const std::shared_ptr<Call> &call)
    {
        if (call->isReturned || m_options.returns == Options::Return::None) {
            ++m_result.refused;
            m_result.refusedAgain += call->isReturned ? 1 : 0;
            return;
        }
        ++m_result.returned;
        auto &ingress = m_nodes[call->ingress];
        const auto reported = call->reportedWait.value_or(Milliseconds(0));
        const auto backlog = m_options.returns == Options::Return::LowestWait ? reported : ingress.picker->backlog(m_targets, m_now).value_or(reported);
        const auto left = std::chrono::duration_cast<Milliseconds>(call->firstBegin + m_options.deadline - m_now);
        // A caller that is not expected to return gets no place of its own, but a jittered delay.
        const bool isSpaced = m_options.returns == Options::Return::SpacedBacklog || m_options.returns == Options::Return::SpacedWithinObjective;
        const auto startBy = call->firstBegin + m_options.objective - std::chrono::microseconds(static_cast<std::int64_t>(m_options.workMs * 1300));
        const auto returnWithin
            = m_options.returns == Options::Return::SpacedWithinObjective ? std::chrono::duration_cast<Milliseconds>(startBy - m_now) : Milliseconds(0);
        const auto delay = ingress.retryAfter->delay(
            {.service = ServiceName("board"), .backlog = backlog, .timeLeft = left, .returnWithin = returnWithin, .willReturn = isSpaced}, m_now);
        at(m_now + delay, [this, call] {
            call->isReturned = true;
            call->goesFirst = m_options.returningGoFirst
                && m_now + std::chrono::microseconds(static_cast<std::int64_t>(m_options.workMs * 1300)) < call->firstBegin + m_options.objective;
            call->begin = m_now;
            call->offers = {};
            call->reportedWait.reset();
            offer(call);
        });
    }

    void arrive(const std::shared_ptr<Call> &call, std::size_t index, bool mayWait)
    {
        auto &target = m_nodes[index];
        if (target.running < m_options.slots) {
            start(call, index);
            return;
        }
        const auto until = call->begin + m_options.maxWait;
        // Returning calls go first while they can be in time, as in the sidecar's queue.
        const auto place = std::find_if(
            target.queue.begin(), target.queue.end(), [&](std::uint64_t queued) { return call->goesFirst && !m_queuedCalls[queued].call->goesFirst; });
        if (!mayWait || m_now + slotInterval(target) * static_cast<int>(place - target.queue.begin() + 1) >= until) {
            reply(call, index, false);
            return;
        }
        const auto ticket = m_nextTicket++;
        m_queuedCalls[ticket] = {call, index};
        target.queue.insert(place, ticket);
        at(until, [this, ticket] { expire(ticket); });
    }

    void expire(std::uint64_t ticket)
    {
        const auto queued = m_queuedCalls.find(ticket);
        if (queued == m_queuedCalls.end()) {
            return;
        }
        const auto [call, target] = queued->second;
        m_queuedCalls.erase(queued);
        std::erase(m_nodes[target].queue, ticket);
        reply(call, target, false);
    }

    void start(const std::shared_ptr<Call> &call, std::size_t index)
    {
        auto &target = m_nodes[index];
        ++target.running;
        ++target.ran;
        constexpr double Spread = 0.3;
        std::lognormal_distribution<double> work(std::log(m_options.workMs * 1000) - Spread * Spread / 2, Spread);
        const std::chrono::microseconds time(static_cast<std::int64_t>(work(m_random) / target.speed));
        at(m_now + time, [this, call, index] { finish(call, index); });
    }

    void finish(const std::shared_ptr<Call> &call, std::size_t index)
    {
        auto &target = m_nodes[index];
        --target.running;
        reply(call, index, true);
        if (!target.queue.empty()) {
            const auto next = m_queuedCalls.extract(target.queue.front()).mapped();
            target.queue.pop_front();
            start(next.call, index);
        }
    }

    void reply(const std::shared_ptr<Call> &call, std::size_t index, bool ran)
    {
        const auto &target = m_nodes[index];
        const auto load = loadOf(target);
        at(m_now + latency(target, m_nodes[call->ingress]), [this, call, index, ran, load] {
            auto &ingress = m_nodes[call->ingress];
            const auto &name = m_nodes[index].record.name;
            ingress.picker->removeInFlight(name);
            ingress.picker->updateReportedLoad(name, load.load, m_now);
            ingress.picker->updateExpectedWait(name, load.wait, m_now);
            if (!ran) {
                call->reportedWait = std::min(call->reportedWait.value_or(load.wait), load.wait);
                offer(call);
                return;
            }
            ingress.retryAfter->callAnswered(ServiceName("board"), m_now);
            ingress.picker->attemptSucceeded(ServiceName("board"), name);
            answered(*call, m_nodes[index]);
        });
    }

    void answered(const Call &call, const Node &target)
    {
        const auto &ingress = m_nodes[call.ingress];
        ++(m_now - call.firstBegin <= m_options.objective ? m_result.inTime : m_result.late);
        m_result.remoteCalls += target.record.dataCentre != ingress.record.dataCentre ? 1 : 0;
        ++m_result.servedOf[call.ingress / m_options.members];
    }

    Options m_options;
    std::mt19937_64 m_random;
    TimePoint m_start{Milliseconds(1'000'000)};
    TimePoint m_now = m_start;
    std::vector<Node> m_nodes;
    std::vector<MemberRecord> m_targets;
    std::map<std::string, std::size_t> m_index;
    std::map<std::uint64_t, QueuedCall> m_queuedCalls;
    std::priority_queue<Event> m_events;
    std::uint64_t m_nextEvent = 0;
    std::uint64_t m_nextTicket = 0;
    // Calls per second that all targets together can run.
    double m_capacity = 0;
    Result m_result;
};

}
