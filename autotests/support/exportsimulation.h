#pragma once

#include "core/calls/linkshare.h"
#include "core/calls/responseschedule.h"
#include "core/calls/responsesizes.h"
#include "core/calls/servicetimes.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <numbers>
#include <random>
#include <vector>

namespace Galenahill::Test {

// Simulation, in model time, of Deployment B's exports: four data centres with two targets each, whose
// outbound links carry less than the responses that are asked for. Ingresses know the backlog of each
// target. The result depends on the seed and the rate only.
class ExportSimulation
{
public:
    struct Result
    {
        std::size_t calls = 0;
        std::size_t onTime = 0;
        std::size_t late = 0;
        // Calls that were not run, and those that ran but were not complete by their deadlines.
        std::size_t rejected = 0;
        std::size_t lost = 0;
        // Of the latter, those of which a part had been sent.
        std::size_t lostStarted = 0;
        // Rejections by a target without any backlog, and calls admitted too late for their deadlines.
        std::size_t rejectedIdle = 0;
        std::size_t admittedTooLate = 0;
        // Share of the time for which a link had nothing to send although calls waited.
        double idleShare = 0;
        std::uint64_t maxBuffered = 0;

        double share(std::size_t part) const
        {
            return static_cast<double>(part) / static_cast<double>(calls);
        }
    };

    ExportSimulation(std::uint64_t seed, double callsPerSecond)
        : m_random(seed)
    {
        auto next = Begin;
        while (next < Begin + Length) {
            next += seconds(std::exponential_distribution<double>(callsPerSecond)(m_random));
            m_arrivals.push_back({next, drawDataCentre(next), drawSize(), drawWork()});
        }
    }

    // All calls run in order of arrival, responses are sent in this order, and a call holds its slot
    // until its response has been sent.
    Result runInOrder()
    {
        Result result{.calls = m_arrivals.size()};
        std::array<std::array<TimePoint, Slots>, Targets> slots{};
        std::array<TimePoint, Targets> links{};
        for (std::size_t i = 0; i < m_arrivals.size(); ++i) {
            const auto &call = m_arrivals[i];
            const auto target = call.dataCentre + (i % 2) * DataCentres;
            auto &slot = *std::min_element(slots[target].begin(), slots[target].end());
            const auto start = std::max(call.at, slot);
            if (start > call.at + Deadline) {
                ++result.rejected;
                continue;
            }
            links[target] = std::max<TimePoint>(links[target], start + serviceTime(call, target)) + linkTime(call.bytes);
            slot = links[target];
            count(result, call, slot);
        }
        return result;
    }

    Result run()
    {
        m_result = {.calls = m_arrivals.size()};
        for (std::size_t i = 0; i < m_arrivals.size(); ++i) {
            at(m_arrivals[i].at, [this, i] { arrive(i); });
        }
        for (auto time = Begin; time < Begin + Length; time += Check) {
            at(time, [this] { check(); });
        }
        while (!m_events.empty()) {
            const auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        return m_result;
    }

private:
    static constexpr std::size_t Targets = 8;
    static constexpr std::size_t DataCentres = 4;
    static constexpr std::size_t Slots = 18;
    static constexpr std::uint64_t LinkBytesPerSecond = 1'370'000;
    static constexpr Milliseconds Objective{1000};
    static constexpr Milliseconds Deadline{4000};
    static constexpr Milliseconds Crossing{120};
    static constexpr Milliseconds Check{10};
    static constexpr Milliseconds Length{52000};
    static constexpr TimePoint Begin{std::chrono::seconds(10)};

    struct Arrival
    {
        TimePoint at;
        std::size_t dataCentre = 0;
        std::uint64_t bytes = 0;
        // Service time at a target of the usual speed.
        double work = 0;
    };

    struct Target
    {
        ResponseSchedule schedule{{.bytesPerSecond = LinkBytesPerSecond}};
        LinkShare share{{.bytesPerSecond = LinkBytesPerSecond}};
        std::uint64_t sentBytes = 0;
        ResponseSizes sizes{{}};
        ServiceTimes times;
        // Admitted calls that wait for a slot, the calls as the schedule knows them, and the bytes left
        // to send.
        std::deque<std::size_t> queue;
        std::map<std::size_t, ResponseSchedule::Call> known;
        std::map<std::size_t, std::uint64_t> left;
        std::size_t running = 0;
        TimePoint linkBusyUntil = Begin;
        TimePoint processAt = Begin;
    };

    static Clock::duration seconds(double count)
    {
        return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(count));
    }

    static Clock::duration linkTime(std::uint64_t bytes)
    {
        return seconds(static_cast<double>(bytes) / LinkBytesPerSecond);
    }

    // Each data centre's demand varies by 55% within 13 s, one after the other.
    std::size_t drawDataCentre(TimePoint time)
    {
        std::array<double, DataCentres> shares{};
        for (std::size_t i = 0; i < DataCentres; ++i) {
            const auto turns = std::chrono::duration<double>(time - Begin).count() / 13 + static_cast<double>(i) / DataCentres;
            shares[i] = 1 + 0.55 * std::sin(2 * std::numbers::pi * turns);
        }
        return std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(m_random);
    }

    // 90 kB on average.
    std::uint64_t drawSize()
    {
        constexpr double Sigma = 0.7;
        std::lognormal_distribution<double> size(std::log(92'000) - Sigma * Sigma / 2, Sigma);
        return static_cast<std::uint64_t>(std::clamp(size(m_random), 2000.0, 540'000.0));
    }

    double drawWork()
    {
        std::uniform_real_distribution<double> unit(0, 1);
        const double slowdown = unit(m_random) < 0.15 ? 2.5 : 1;
        return 0.24 * slowdown * std::lognormal_distribution<double>(0, 0.15)(m_random) + (unit(m_random) < 0.7 ? 0.09 : 0);
    }

    static Clock::duration serviceTime(const Arrival &call, std::size_t target)
    {
        return seconds(call.work / (0.6 + static_cast<double>(target) / (Targets - 1)));
    }

    static void count(Result &result, const Arrival &call, TimePoint end)
    {
        ++(end <= call.at + Objective ? result.onTime : end <= call.at + Deadline ? result.late : result.lost);
    }

    void at(TimePoint time, std::function<void()> action)
    {
        m_events.emplace(time, std::move(action));
    }

    // Offers the call to the two best targets if it can be on time there, then to both until its deadline.
    void arrive(std::size_t id)
    {
        const auto &call = m_arrivals[id];
        std::multimap<Clock::duration, std::size_t> order;
        for (std::size_t i = 0; i < Targets; ++i) {
            order.emplace(m_targets[i].schedule.backlogTime(m_now) + (i % DataCentres == call.dataCentre ? Milliseconds(0) : Crossing), i);
        }
        for (int offer = 0; offer < 4; ++offer) {
            const auto index = std::next(order.begin(), offer % 2)->second;
            auto &target = m_targets[index];
            const auto known = describe(target, call);
            if (target.schedule.add(ResponseTicket(id), known, offer >= 2, m_now)) {
                target.known.emplace(id, known);
                return process(target);
            }
            m_result.rejectedIdle += offer >= 2 && target.schedule.backlogBytes() == 0 ? 1 : 0;
        }
        ++m_result.rejected;
    }

    ResponseSchedule::Call describe(Target &target, const Arrival &call) const
    {
        const RouteName route("export");
        target.times.assume(route, Objective / 3);
        const auto size = target.sizes.estimate(route, m_now);
        return {.objective = call.at + Objective,
            .deadline = call.at + Deadline,
            .bytes = size.mean,
            .serviceTime = target.times.average(route),
            .highBytes = size.high,
            .highServiceTime = target.times.high(route)};
    }

    void process(Target &target)
    {
        auto &schedule = target.schedule;
        target.share.update(target.sentBytes, target.sentBytes, m_now);
        schedule.setResponseFraction(target.share.value());
        while (const auto decision = schedule.nextDecision(m_now)) {
            const auto id = decision->ticket.value();
            const auto &known = target.known.at(id);
            if (!decision->admitted) {
                ++m_result.rejected;
                continue;
            }
            m_result.admittedTooLate += m_now + known.serviceTime + linkTime(known.bytes) > known.deadline ? 1 : 0;
            target.queue.push_back(id);
        }
        for (; !target.queue.empty() && target.running < Slots; target.queue.pop_front()) {
            ++target.running;
            const auto id = target.queue.front();
            const auto service = serviceTime(m_arrivals[id], static_cast<std::size_t>(&target - m_targets.data()));
            at(m_now + service, [this, &target, id, service] { produce(target, id, service); });
        }
        while (const auto ticket = schedule.expired(m_now)) {
            schedule.remove(*ticket);
            ++m_result.lost;
            m_result.lostStarted += target.left.at(ticket->value()) < m_arrivals[ticket->value()].bytes ? 1 : 0;
        }
        while (const auto part = schedule.nextPart(m_now)) {
            const auto id = part->ticket.value();
            target.linkBusyUntil = std::max(m_now, target.linkBusyUntil) + linkTime(part->bytes);
            target.left[id] -= part->bytes;
            target.sentBytes += part->bytes;
            if (target.left[id] > 0) {
                schedule.requestPart(part->ticket, target.left[id], m_now);
            } else {
                schedule.remove(part->ticket);
                count(m_result, m_arrivals[id], target.linkBusyUntil);
            }
        }
        if (schedule.linkFreeAt() > std::max(m_now, target.processAt)) {
            target.processAt = schedule.linkFreeAt();
            at(target.processAt, [this, &target] { process(target); });
        }
    }

    void produce(Target &target, std::size_t id, Clock::duration service)
    {
        const ResponseTicket ticket(id);
        const auto bytes = m_arrivals[id].bytes;
        target.times.record(RouteName("export"), std::chrono::duration_cast<std::chrono::microseconds>(service));
        target.sizes.record(RouteName("export"), bytes, m_now);
        target.schedule.produced(ticket, bytes);
        target.schedule.takeMemory(ticket, bytes);
        m_result.maxBuffered = std::max(m_result.maxBuffered, target.schedule.bufferedBytes());
        --target.running;
        target.left[id] = bytes;
        target.schedule.requestPart(ticket, bytes, m_now);
        process(target);
    }

    void check()
    {
        for (auto &target : m_targets) {
            const bool isIdle = target.schedule.waiting() > 0 && target.linkBusyUntil + Check < m_now;
            m_result.idleShare += isIdle ? std::chrono::duration<double>(Check) / std::chrono::duration<double>(Length) / Targets : 0;
            process(target);
        }
    }

    std::mt19937_64 m_random;
    std::vector<Arrival> m_arrivals;
    std::array<Target, Targets> m_targets;
    std::multimap<TimePoint, std::function<void()>> m_events;
    TimePoint m_now = Begin;
    Result m_result;
};

}
