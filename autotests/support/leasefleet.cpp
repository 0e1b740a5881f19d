#include "leasefleet.h"

#include <algorithm>

namespace Galenahill {

struct LeaseFleet::Node
{
    MemberRecord record;
    int group = 0;
    bool alive = true;
    bool paused = false;
    bool left = false;
    std::unique_ptr<LimitMembers> members;
    std::unique_ptr<TokenGrantor> grantor;
    std::unique_ptr<TokenLessee> lessee;
    std::vector<std::function<void()>> missed;
};

LeaseFleet::LeaseFleet(std::size_t nodes, std::vector<CustomerDefinition> customers, bool firstStart, std::uint64_t seed)
    : m_customers(std::move(customers))
    , m_ran(m_customers.size())
    , m_random(seed)
{
    for (std::size_t index = 0; index < nodes; ++index) {
        m_nodes.push_back(std::make_unique<Node>());
        m_nodes[index]->record = {.name = NodeName("vm" + std::to_string(index)), .address = "10.0.0." + std::to_string(index), .controlPort = 7000};
    }
    for (std::size_t index = 0; index < nodes; ++index) {
        m_indexes.emplace(m_nodes[index]->record.control(), index);
        start(index, firstStart);
        at(m_now + Milliseconds(index % 20), [this, index] { tick(index); });
    }
    updateViews(MemberState::Gone);
}

LeaseFleet::~LeaseFleet() = default;

void LeaseFleet::start(std::size_t index, bool firstStart)
{
    auto &node = *m_nodes[index];
    node.lessee.reset();
    node.grantor.reset();
    node.members = std::make_unique<LimitMembers>(LimitMembers::Options{.self = node.record.name, .firstStart = firstStart, .started = m_now});
    const auto send = [this, index](const Endpoint &to, const LeaseMessage &message) { this->send(index, to, message); };
    node.grantor = std::make_unique<TokenGrantor>(TokenGrantor::Options{.members = *node.members, .send = send});
    node.lessee = std::make_unique<TokenLessee>(TokenLessee::Options{.members = *node.members,
        .firstSequence = static_cast<LeaseSequence>(m_random()),
        .send = send,
        .decided = [this](WaiterId waiter, const TokenDecision &decision) { decided(m_waiting.at(waiter.value()), decision); }});
    node.grantor->setCustomers(m_customers, Revision(m_revision), m_now);
    node.lessee->setCustomers(m_customers, Revision(m_revision), m_now);
}

void LeaseFleet::at(TimePoint time, std::function<void()> run)
{
    m_events.push({time, m_nextNumber++, std::move(run)});
}

void LeaseFleet::run(Milliseconds time)
{
    const auto end = m_now + time;
    while (!m_events.empty() && m_events.top().time <= end) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.run();
    }
    m_now = end;
}

void LeaseFleet::send(std::size_t from, const Endpoint &to, const LeaseMessage &message)
{
    const auto target = m_indexes.at(to);
    if (target != from && sizeOf) {
        ++counts.datagrams;
        counts.bytes += sizeOf(message);
    }
    std::uniform_real_distribution<double> share(0, 1);
    const int copies = target == from ? 1 : share(m_random) < lossShare ? 0 : share(m_random) < repeatShare ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const auto delay = target == from ? std::chrono::microseconds(1) : std::chrono::microseconds(300 + m_random() % 1200 + copy * (m_random() % 3'000'000));
        at(m_now + delay, [this, from, target, message] { deliver(from, target, message); });
    }
}

void LeaseFleet::deliver(std::size_t from, std::size_t to, const LeaseMessage &message)
{
    auto &node = *m_nodes[to];
    if (!node.alive || node.group != m_nodes[from]->group) {
        return;
    }
    if (node.paused) {
        node.missed.emplace_back([this, from, to, message] { deliver(from, to, message); });
        return;
    }
    node.grantor->receive(m_nodes[from]->record.control(), message, m_now);
    node.lessee->receive(m_nodes[from]->record.control(), message, m_now);
}

void LeaseFleet::setDemand(std::size_t customer, std::size_t node, double callsPerSecond)
{
    auto &[rate, generation] = m_demand[{customer, node}];
    rate = callsPerSecond;
    arrive(customer, node, ++generation);
}

void LeaseFleet::setDemandEverywhere(std::size_t customer, double callsPerSecond)
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        setDemand(customer, node, callsPerSecond / static_cast<double>(m_nodes.size()));
    }
}

void LeaseFleet::arrive(std::size_t customer, std::size_t node, std::uint64_t generation)
{
    const auto &[rate, current] = m_demand[{customer, node}];
    if (current != generation || rate == 0) {
        return;
    }
    const auto pause = std::exponential_distribution<double>(rate)(m_random);
    at(m_now + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(pause)), [this, customer, node, generation] {
        if (m_demand[{customer, node}].second == generation) {
            call(customer, node);
            arrive(customer, node, generation);
        }
    });
}

void LeaseFleet::call(std::size_t customer, std::size_t node)
{
    if (!m_nodes[node]->alive || m_nodes[node]->paused) {
        return;
    }
    const auto waiter = m_nextNumber++;
    const auto decision = m_nodes[node]->lessee->acquire(m_customers[customer].name, WaiterId(waiter), m_now);
    if (decision.status == TokenDecision::Status::Waiting) {
        ++counts.waited;
        m_waiting.emplace(waiter, customer);
    } else {
        decided(customer, decision);
    }
}

void LeaseFleet::decided(std::size_t customer, const TokenDecision &decision)
{
    if (decision.status == TokenDecision::Status::Granted) {
        m_ran[customer].push_back(m_now);
    } else {
        ++counts.denied;
        counts.retries.push_back(decision.retryAfter);
    }
}

void LeaseFleet::tick(std::size_t index)
{
    auto &node = *m_nodes[index];
    if (node.alive && !node.paused) {
        if (hearsOthers(node)) {
            node.members->heard(m_now);
        }
        node.members->tick(m_now);
        node.lessee->tick(m_now);
        node.grantor->tick(m_now);
    }
    at(m_now + Milliseconds(20), [this, index] { tick(index); });
}

bool LeaseFleet::hearsOthers(const Node &node) const
{
    return std::any_of(m_nodes.begin(), m_nodes.end(), [&](const auto &other) {
        return other.get() != &node && other->alive && !other->paused && other->group == node.group;
    });
}

void LeaseFleet::updateViews(MemberState unreachable)
{
    for (auto &node : m_nodes) {
        // A node that hears of nobody does not declare the others gone.
        if (!node->alive || node->paused || (!hearsOthers(*node) && m_nodes.size() > 1)) {
            continue;
        }
        std::vector<MemberRecord> view;
        for (const auto &other : m_nodes) {
            view.push_back(other->record);
            const bool reachable = other->alive && !other->paused && other->group == node->group;
            view.back().state = other->left ? MemberState::Left : reachable ? MemberState::Ready : unreachable;
        }
        node->members->setMembers(view, m_now);
        node->grantor->membersChanged(m_now);
        node->lessee->membersChanged(m_now);
    }
}

void LeaseFleet::memberFault()
{
    at(m_now + Milliseconds(2500), [this] { updateViews(MemberState::Suspect); });
    at(m_now + Milliseconds(10000), [this] { updateViews(MemberState::Gone); });
}

void LeaseFleet::setGroups(const std::function<int(std::size_t)> &groupOf)
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        m_nodes[node]->group = groupOf(node);
    }
    memberFault();
}

void LeaseFleet::kill(std::size_t node)
{
    m_nodes[node]->alive = false;
    memberFault();
}

void LeaseFleet::leave(std::size_t node)
{
    m_nodes[node]->left = true;
    at(m_now + Milliseconds(200), [this] { updateViews(MemberState::Gone); });
    at(m_now + Milliseconds(1000), [this, node] { m_nodes[node]->alive = false; });
}

void LeaseFleet::pause(std::size_t node)
{
    m_nodes[node]->paused = true;
    memberFault();
}

void LeaseFleet::resume(std::size_t node)
{
    m_nodes[node]->paused = false;
    const auto missed = std::exchange(m_nodes[node]->missed, {});
    for (const auto &event : missed) {
        event();
    }
    at(m_now + Milliseconds(500), [this] { updateViews(MemberState::Gone); });
}

void LeaseFleet::restartAll(std::size_t firstView)
{
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        start(index, false);
        std::vector<MemberRecord> view;
        for (std::size_t other = 0; other < firstView; ++other) {
            view.push_back(m_nodes[(index + other) % m_nodes.size()]->record);
        }
        m_nodes[index]->members->setMembers(view, m_now);
    }
    at(m_now + Milliseconds(1000), [this] { updateViews(MemberState::Gone); });
}

void LeaseFleet::setLimits(std::vector<CustomerDefinition> customers, const std::function<bool(std::size_t)> &informed)
{
    m_customers = std::move(customers);
    ++m_revision;
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        if (informed(index)) {
            m_nodes[index]->grantor->setCustomers(m_customers, Revision(m_revision), m_now);
            m_nodes[index]->lessee->setCustomers(m_customers, Revision(m_revision), m_now);
        }
    }
}

std::size_t LeaseFleet::grantorOf(std::size_t customer) const
{
    const auto &name = m_nodes[0]->members->grantorOf(hashOf(m_customers[customer].name)).name;
    const auto found = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto &node) { return node->record.name == name; });
    return static_cast<std::size_t>(found - m_nodes.begin());
}

TimePoint LeaseFleet::now() const
{
    return m_now;
}

double LeaseFleet::highestLoad(std::size_t customer, TimePoint from) const
{
    const auto &limit = m_customers[customer].limit;
    const auto &times = m_ran[customer];
    auto first = std::lower_bound(times.begin(), times.end(), from);
    std::ptrdiff_t most = 0;
    for (auto last = first; last != times.end(); ++last) {
        while (*last - *first > std::chrono::seconds(5)) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return static_cast<double>(most) / ((limit.ratePerSecond * 5 + limit.burst) * 1.1 + 20);
}

std::size_t LeaseFleet::ran(std::size_t customer, TimePoint from) const
{
    const auto &times = m_ran[customer];
    return static_cast<std::size_t>(times.end() - std::lower_bound(times.begin(), times.end(), from));
}

}
