#pragma once

#include "core/customers/tokengrantor.h"
#include "core/customers/tokenlessee.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Galenahill {

// Nodes with a lessee and a grantor each, in model time, on a network with delay, loss, repetition and
// partitions. Members suspect a failed one after 2.5 s and declare it gone after 10 s, about as
// the membership does with 81 members.
class LeaseFleet
{
public:
    LeaseFleet(std::size_t nodes, std::vector<CustomerDefinition> customers, bool firstStart, std::uint64_t seed = 1);
    ~LeaseFleet();

    // Poisson arrivals of the customer's calls at the node, from now on. A later call replaces the rate.
    void setDemand(std::size_t customer, std::size_t node, double callsPerSecond);
    void setDemandEverywhere(std::size_t customer, double callsPerSecond);
    void call(std::size_t customer, std::size_t node);
    void run(Milliseconds time);

    // Nodes reach only nodes of their own group.
    void setGroups(const std::function<int(std::size_t node)> &groupOf);
    void kill(std::size_t node);
    void leave(std::size_t node);
    void pause(std::size_t node);
    void resume(std::size_t node);
    // New processes; `firstView` is the number of members that each one sees for the first second.
    void restartAll(std::size_t firstView);
    void setLimits(std::vector<CustomerDefinition> customers, const std::function<bool(std::size_t node)> &informed);

    std::size_t grantorOf(std::size_t customer) const;
    TimePoint now() const;
    // Most calls that ran in any 5 s, relative to the bound for the present limit, from the given time on.
    double highestLoad(std::size_t customer, TimePoint from = {}) const;
    std::size_t ran(std::size_t customer, TimePoint from) const;

    struct Counts
    {
        std::size_t denied = 0;
        std::size_t datagrams = 0;
        std::size_t bytes = 0;
        std::size_t waited = 0;
        std::vector<Milliseconds> retries;
    };

    Counts counts;
    double lossShare = 0;
    double repeatShare = 0;
    std::function<std::size_t(const LeaseMessage &)> sizeOf;

private:
    struct Node;
    struct Event
    {
        TimePoint time;
        std::uint64_t number;
        std::function<void()> run;

        bool operator<(const Event &other) const
        {
            return std::tie(other.time, other.number) < std::tie(time, number);
        }
    };

    void start(std::size_t index, bool firstStart);
    void at(TimePoint time, std::function<void()> run);
    void send(std::size_t from, const Endpoint &to, const LeaseMessage &message);
    void deliver(std::size_t from, std::size_t to, const LeaseMessage &message);
    void arrive(std::size_t customer, std::size_t node, std::uint64_t generation);
    void decided(std::size_t customer, const TokenDecision &decision);
    void tick(std::size_t node);
    bool hearsOthers(const Node &node) const;
    void memberFault();
    void updateViews(MemberState unreachable);

    std::vector<CustomerDefinition> m_customers;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::map<Endpoint, std::size_t> m_indexes;
    std::priority_queue<Event> m_events;
    std::map<std::pair<std::size_t, std::size_t>, std::pair<double, std::uint64_t>> m_demand;
    std::map<std::uint64_t, std::size_t> m_waiting;
    std::vector<std::vector<TimePoint>> m_ran;
    TimePoint m_now = TimePoint() + std::chrono::hours(1);
    std::uint64_t m_revision = 1;
    std::uint64_t m_nextNumber = 1;
    std::mt19937_64 m_random;
};

}
