#include "faultschedule.h"

#include <algorithm>
#include <random>

namespace Galenahill {

namespace {

enum class Scope {
    Platform,
    OneNode,
    // Three nodes, one after another.
    RollingNodes,
    // Two thirds of all nodes at once.
    MostNodes,
    OneDataCentre,
    AllNodes,
};

struct FaultKind
{
    const char *name;
    Scope scope;
    Milliseconds duration;
};

// Pauses take longer than the suspicion timeout, so that a paused node resumes after all others
// have declared it gone.
const std::vector<FaultKind> &faultKinds()
{
    static const std::vector<FaultKind> all = {
        {"platform-down", Scope::Platform, Milliseconds(4000)},
        {"platform-slow", Scope::Platform, Milliseconds(4000)},
        {"platform-lose-answers", Scope::Platform, Milliseconds(4000)},
        {"platform-stall-watches", Scope::Platform, Milliseconds(5000)},
        {"platform-restore", Scope::Platform, Milliseconds(1000)},
        {"herd-kill", Scope::MostNodes, Milliseconds(2500)},
        {"fleet-kill", Scope::AllNodes, Milliseconds(2500)},
        {"restore-herd-kill", Scope::MostNodes, Milliseconds(2500)},
        {"node-kill", Scope::OneNode, Milliseconds(2500)},
        {"node-pause", Scope::OneNode, Milliseconds(7000)},
        {"herd-pause", Scope::MostNodes, Milliseconds(6500)},
        {"link-cut", Scope::OneDataCentre, Milliseconds(6000)},
        {"link-loss", Scope::AllNodes, Milliseconds(5000)},
        {"node-stop", Scope::RollingNodes, Milliseconds(3500)},
        {"target-drain", Scope::OneNode, Milliseconds(5500)},
        {"target-kill", Scope::OneNode, Milliseconds(1500)},
    };
    return all;
}

constexpr Milliseconds RoundGap{1500};
constexpr Milliseconds RepeatGap{500};
constexpr Milliseconds RollingStep{2500};
constexpr std::size_t RollingNodes = 3;

class Scheduler
{
public:
    Scheduler(std::uint64_t seed, std::size_t nodes, std::size_t dataCentres)
        : m_random(seed)
        , m_nodes(nodes)
        , m_dataCentres(dataCentres)
    {
    }

    std::vector<PlannedFault> run(Milliseconds length);

private:
    std::vector<std::size_t> sample(std::size_t count);
    std::vector<std::size_t> nodesOf(Scope scope);
    Milliseconds add(const FaultKind &kind, Milliseconds begin);
    bool chance(double probability);

    std::mt19937_64 m_random;
    std::size_t m_nodes;
    std::size_t m_dataCentres;
    std::vector<PlannedFault> m_faults;
};

bool Scheduler::chance(double probability)
{
    return std::bernoulli_distribution(probability)(m_random);
}

std::vector<std::size_t> Scheduler::sample(std::size_t count)
{
    std::vector<std::size_t> nodes(m_nodes);
    for (std::size_t i = 0; i < m_nodes; ++i) {
        nodes[i] = i;
    }
    std::shuffle(nodes.begin(), nodes.end(), m_random);
    nodes.resize(count);
    return nodes;
}

std::vector<std::size_t> Scheduler::nodesOf(Scope scope)
{
    switch (scope) {
    case Scope::Platform:
        return {};
    case Scope::OneNode:
        return sample(1);
    case Scope::RollingNodes:
        return sample(RollingNodes);
    case Scope::MostNodes:
        return sample(m_nodes * 2 / 3);
    case Scope::AllNodes:
        return sample(m_nodes);
    case Scope::OneDataCentre:
        break;
    }
    const auto dataCentre = std::uniform_int_distribution<std::size_t>(0, m_dataCentres - 1)(m_random);
    std::vector<std::size_t> nodes;
    for (auto node = dataCentre; node < m_nodes; node += m_dataCentres) {
        nodes.push_back(node);
    }
    return nodes;
}

Milliseconds Scheduler::add(const FaultKind &kind, Milliseconds begin)
{
    const auto nodes = nodesOf(kind.scope);
    if (kind.scope != Scope::RollingNodes) {
        m_faults.push_back({kind.name, begin, begin + kind.duration, nodes});
        return begin + kind.duration;
    }
    auto at = begin;
    for (const auto node : nodes) {
        m_faults.push_back({kind.name, at, at + kind.duration, {node}});
        at += RollingStep;
    }
    return at - RollingStep + kind.duration;
}

std::vector<PlannedFault> Scheduler::run(Milliseconds length)
{
    const auto choose = [&]() -> const FaultKind & { return faultKinds()[std::uniform_int_distribution<std::size_t>(0, faultKinds().size() - 1)(m_random)]; };
    Milliseconds at{0};
    while (at < length) {
        const auto &first = choose();
        auto end = add(first, at);
        const auto &second = choose();
        // Two concurrent faults of nodes or targets could affect the same process.
        if (chance(0.5) && (first.scope == Scope::Platform) != (second.scope == Scope::Platform)) {
            end = std::max(end, add(second, at + Milliseconds(500)));
        } else if (chance(0.4)) {
            end = add(first, end + RepeatGap);
        }
        at = end + RoundGap;
    }
    return m_faults;
}

}

std::vector<PlannedFault> scheduleFaults(std::uint64_t seed, std::size_t nodes, std::size_t dataCentres, Milliseconds length)
{
    return Scheduler(seed, nodes, dataCentres).run(length);
}

}
