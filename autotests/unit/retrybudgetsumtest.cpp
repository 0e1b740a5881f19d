// The retries of all nodes of a fleet together, against the bound on the fleet: in any window, a share of the calls that
// callers sent in it, or in the window or half a window before it, plus a fixed number.

#include "core/calls/retrybudget.h"
#include "core/calls/retrybudgetshare.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace Galenahill;

namespace {

constexpr double RetriesPerCall = 0.2;
constexpr double Slack = 60;
constexpr Milliseconds Window{10000};
constexpr Milliseconds Step{20};
constexpr Milliseconds Length{60000};
constexpr std::size_t StepsOfWindow = Window / Step;

// A restarted node learns of the other members after this time.
constexpr Milliseconds JoinTime{200};

const TimePoint Begin(std::chrono::hours(1000));

struct Scenario
{
    std::size_t nodes = 12;
    // Calls a second that callers and targets send to one service, to all nodes together.
    double callerRate = 200;
    double nestedRate = 0;
    // Part of the nested calls that are made by a retry.
    double retriedParents = 0;
    // Nodes that restart at one time, and the pause until the next ones do; zero: none.
    std::size_t restarts = 0;
    Milliseconds restartPause{2000};
    // Whether the fleet is split into two parts, a third and two thirds, in the middle of the run.
    bool partition = false;
    // Part of the time during which all calls fail.
    double troubleShare = 1;
};

class Fleet
{
public:
    Fleet(const Scenario &scenario, std::uint64_t seed)
        : m_scenario(scenario)
        , m_random(seed)
    {
        for (std::size_t node = 0; node < scenario.nodes; ++node) {
            m_nodes.emplace_back(RetryBudgetShare({.retriesPerCall = RetriesPerCall, .slack = Slack, .started = Begin - Window}), Begin);
            m_nodes.back().share.setMembers(scenario.nodes, node, Begin - Window);
        }
    }

    void run()
    {
        for (auto now = Begin; now < Begin + Length; now += Step) {
            restartNodes(now);
            m_calls.push_back(0);
            m_retries.push_back(0);
            const bool trouble = std::fmod(static_cast<double>((now - Begin).count()) / 8e9, 1) < m_scenario.troubleShare;
            for (auto &node : m_nodes) {
                const auto known = membersKnown(node, now);
                node.share.setMembers(known, std::min<std::size_t>(known - 1, static_cast<std::size_t>(&node - m_nodes.data())), now);
                node.budget.setOptions(node.share.budget(now));
                send(node, m_scenario.callerRate, CallOrigin::Caller, trouble, now);
                send(node, m_scenario.nestedRate * (1 - m_scenario.retriedParents), CallOrigin::Target, trouble, now);
                send(node, m_scenario.nestedRate * m_scenario.retriedParents, CallOrigin::RetryAtTarget, trouble, now);
            }
        }
    }

    // Largest excess of a window's retries over the bound; negative if there is none.
    double worstExcess() const
    {
        double worst = -Slack;
        for (std::size_t begin = 0; begin + StepsOfWindow <= m_calls.size(); ++begin) {
            const auto calls = std::max({sum(m_calls, begin, 0), sum(m_calls, begin, StepsOfWindow / 2), sum(m_calls, begin, StepsOfWindow)});
            worst = std::max(worst, sum(m_retries, begin, 0) - RetriesPerCall * calls - Slack);
        }
        return worst;
    }

    double retries() const
    {
        double all = 0;
        for (const auto count : m_retries) {
            all += count;
        }
        return all;
    }

private:
    struct Node
    {
        Node(RetryBudgetShare given, TimePoint start)
            : share(std::move(given))
            , budget(share.budget(start))
            , started(start)
        {
        }

        RetryBudgetShare share;
        RetryBudget budget;
        TimePoint started;
    };

    std::size_t membersKnown(const Node &node, TimePoint now) const
    {
        if (node.started > Begin && now - node.started < JoinTime) {
            return 1;
        }
        const bool split = m_scenario.partition && now - Begin > Length / 3 && now - Begin < Length * 2 / 3;
        const auto index = static_cast<std::size_t>(&node - m_nodes.data());
        const auto smallPart = m_scenario.nodes / 3;
        return !split ? m_scenario.nodes : index < smallPart ? smallPart : m_scenario.nodes - smallPart;
    }

    void restartNodes(TimePoint now)
    {
        if (m_scenario.restarts == 0 || now < m_nextRestart) {
            return;
        }
        m_nextRestart = now + m_scenario.restartPause;
        for (std::size_t i = 0; i < m_scenario.restarts; ++i) {
            auto &node = m_nodes[m_random() % m_nodes.size()];
            node = Node(RetryBudgetShare({.retriesPerCall = RetriesPerCall, .slack = Slack, .started = now}), now);
        }
    }

    // Each call that fails wants one retry.
    void send(Node &node, double rate, CallOrigin origin, bool trouble, TimePoint now)
    {
        const double perStep = rate * std::chrono::duration<double>(Step).count() / static_cast<double>(m_scenario.nodes);
        std::poisson_distribution<int> calls(perStep);
        const auto count = perStep > 0 ? calls(m_random) : 0;
        for (int i = 0; i < count; ++i) {
            node.budget.recordCall(origin, now);
            m_calls.back() += origin == CallOrigin::Caller ? 1 : 0;
            m_retries.back() += origin == CallOrigin::RetryAtTarget ? 1 : 0;
            m_retries.back() += trouble && node.budget.tryTakeToken(origin != CallOrigin::Caller, now) ? 1 : 0;
        }
    }

    // Sum of the window that begins that many steps before the step.
    static double sum(const std::vector<double> &counts, std::size_t begin, std::size_t before)
    {
        double total = 0;
        for (std::size_t i = begin; i < begin + StepsOfWindow; ++i) {
            total += i >= before ? counts[i - before] : 0;
        }
        return total;
    }

    Scenario m_scenario;
    std::mt19937_64 m_random;
    std::vector<Node> m_nodes;
    TimePoint m_nextRestart = Begin + Milliseconds(3000);
    std::vector<double> m_calls;
    std::vector<double> m_retries;
};

void check(const Scenario &scenario)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Fleet fleet(scenario, seed);
        fleet.run();
        BOOST_TEST(fleet.worstExcess() <= 0, "seed " << seed << ": " << fleet.worstExcess() << " retries more than the fleet may make in a window");
        BOOST_TEST(fleet.retries() > 0);
    }
}

}

// Guards against parts of the budget that add up to more than the whole.
BOOST_AUTO_TEST_CASE(CallersAlone)
{
    check({.callerRate = 35});
    check({.nodes = 60, .callerRate = 1000, .troubleShare = 0.3});
}

// Guards against nested calls that earn retries, although the bound counts only the calls of callers.
BOOST_AUTO_TEST_CASE(NestedCallsEarnNoRetries)
{
    check({.callerRate = 35, .nestedRate = 56});
    check({.nodes = 60, .callerRate = 10, .nestedRate = 400, .troubleShare = 0.5});
}

// Guards against restarted nodes that begin with tokens that their predecessors have spent, or that know no member yet.
BOOST_AUTO_TEST_CASE(RestartedNodes)
{
    check({.callerRate = 35, .nestedRate = 56, .restarts = 2, .restartPause = Milliseconds(1500)});
    check({.callerRate = 35, .restarts = 7, .restartPause = Milliseconds(6000)});
    check({.nodes = 60, .callerRate = 35, .restarts = 30, .restartPause = Milliseconds(11000)});
}

// Guards against parts of a partitioned fleet that each use the whole budget.
BOOST_AUTO_TEST_CASE(PartitionedFleet)
{
    check({.callerRate = 35, .partition = true});
    check({.nodes = 60, .callerRate = 35, .partition = true});
}

// Guards against a minimum for each node that a large fleet multiplies.
BOOST_AUTO_TEST_CASE(LargeFleetWithFewCalls)
{
    check({.nodes = 300, .callerRate = 30});
    check({.nodes = 300, .callerRate = 5, .troubleShare = 0.2});
}

// Guards against nested calls of retries that are not charged.
BOOST_AUTO_TEST_CASE(NestedCallsOfRetries)
{
    check({.callerRate = 100, .nestedRate = 20, .retriedParents = 0.2});
}
