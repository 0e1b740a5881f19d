// A model of a fleet whose nodes share what they know of ended targets by messages that take time and get lost. Targets
// end under fatal requests, or at random under ordinary ones.

#include "core/quarantine/quarantine.h"
#include "core/quarantine/suspecttarget.h"
#include "core/quarantine/targetenddetector.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>

using namespace Galenahill;

namespace {

const TimePoint Begin(std::chrono::hours(1000));
constexpr Milliseconds RestartTime{3000};
constexpr Milliseconds FatalTime{3};
constexpr Milliseconds EndReportTime{50};
constexpr std::uint64_t FatalContent = 1;
constexpr int MaxAttempts = 2;

struct Scenario
{
    std::size_t targets = 8;
    // Ordinary calls a second; half of them have contents that many callers send.
    double rate = 0;
    Milliseconds serviceTime{160};
    // Mean time between two ends that no request causes, and the part of the targets that end together; zero: one.
    Milliseconds crashInterval{0};
    double crashShare = 0;
    // Fatal requests: how many callers repeat at once, how often, and the time between.
    std::size_t copies = 0;
    std::size_t repeats = 0;
    Milliseconds repeatInterval{8};
    double loss = 0.03;
    Milliseconds length{60000};
};

class Model
{
public:
    Model(const Scenario &scenario, std::uint64_t seed)
        : m_scenario(scenario)
        , m_random(seed)
    {
        for (std::size_t i = 0; i < scenario.targets; ++i) {
            MemberRecord member;
            member.name = NodeName("n" + std::to_string(i));
            member.service = ServiceName("ventas");
            member.address = "10.0.0." + std::to_string(i);
            member.controlPort = 8084;
            m_members.push_back(member);
            m_byAddress[toString(member.control())] = i;
        }
        m_nodes.resize(scenario.targets);
        for (std::size_t i = 0; i < scenario.targets; ++i) {
            m_nodes[i].quarantine = std::make_unique<Quarantine>(Quarantine::Options{.self = m_members[i],
                .seed = seed * 1000 + i,
                .send = [this, i](const Endpoint &to, const QuarantineMessage &message) { deliver(i, to, message); },
                .changed =
                    [this](const QuarantineChange &change) {
                        if (change.standing == RequestStanding::Quarantined && change.digest.value() != FatalContent) {
                            m_wronglyQuarantined.insert(change.digest);
                        }
                    }});
            m_nodes[i].quarantine->setMembers(m_members);
        }
    }

    void run()
    {
        const auto end = Begin + m_scenario.length;
        after(Milliseconds(0), [this] { tick(); });
        if (m_scenario.rate > 0) {
            after(Milliseconds(0), [this] { sendOrdinary(); });
        }
        if (m_scenario.crashInterval.count() > 0) {
            after(m_scenario.crashInterval, [this] { crashSome(); });
        }
        for (std::size_t repeat = 0; repeat < m_scenario.repeats; ++repeat) {
            after(repeat * m_scenario.repeatInterval, [this] {
                for (std::size_t copy = 0; copy < m_scenario.copies; ++copy) {
                    start({.content = FatalContent, .ingress = randomNode()});
                }
            });
        }
        while (!m_events.empty() && m_events.top().time < end) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
    }

    std::size_t ends() const
    {
        return m_ends;
    }

    std::size_t fatalEnds() const
    {
        return m_fatalEnds;
    }

    std::size_t wronglyQuarantined() const
    {
        return m_wronglyQuarantined.size();
    }

    // Ordinary calls that the quarantine kept from being run.
    std::size_t rejectedOrdinary() const
    {
        return m_rejectedOrdinary;
    }

private:
    struct Call
    {
        std::uint64_t content = 0;
        std::size_t ingress = 0;
        int attempts = 0;
        int offers = 0;
        // Whether the ingress knows of an end from a sidecar's response.
        bool knownSuspect = false;
        std::vector<NodeName> excluded;
    };

    struct Node
    {
        std::unique_ptr<Quarantine> quarantine;
        bool up = true;
        int incarnation = 0;
        bool suspectRunning = false;
        TargetEndDetector detector;
        std::map<TargetEndDetector::Ticket, Call> running;
    };

    struct Event
    {
        TimePoint time;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };

    void after(Milliseconds delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, m_order++, std::move(action)});
    }

    std::size_t randomNode()
    {
        return m_random() % m_nodes.size();
    }

    void deliver(std::size_t from, const Endpoint &to, const QuarantineMessage &message)
    {
        if (std::bernoulli_distribution(m_scenario.loss)(m_random)) {
            return;
        }
        after(Milliseconds(1 + m_random() % 3),
            [=, this] { m_nodes[m_byAddress.at(toString(to))].quarantine->messageReceived(m_members[from].control(), message, m_now); });
    }

    void tick()
    {
        for (auto &node : m_nodes) {
            node.quarantine->tick(m_now);
        }
        after(Milliseconds(100), [this] { tick(); });
    }

    void sendOrdinary()
    {
        const bool popular = m_random() % 2 == 0;
        start({.content = popular ? 2 + m_random() % 20 : 1000 + m_nextContent++, .ingress = randomNode()});
        std::exponential_distribution<double> pause(m_scenario.rate);
        after(Milliseconds(static_cast<std::int64_t>(pause(m_random) * 1000)), [this] { sendOrdinary(); });
    }

    void crashSome()
    {
        const auto count = std::max<std::size_t>(1, static_cast<std::size_t>(m_scenario.crashShare * static_cast<double>(m_nodes.size())));
        for (std::size_t i = 0; i < count; ++i) {
            crash(randomNode());
        }
        std::exponential_distribution<double> pause(1.0 / static_cast<double>(m_scenario.crashInterval.count()));
        after(Milliseconds(1 + static_cast<std::int64_t>(pause(m_random))), [this] { crashSome(); });
    }

    std::vector<MemberRecord> targetsUp(const std::vector<NodeName> &excluded) const
    {
        std::vector<MemberRecord> targets;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i].up && std::find(excluded.begin(), excluded.end(), m_members[i].name) == excluded.end()) {
                targets.push_back(m_members[i]);
            }
        }
        return targets;
    }

    void start(Call call)
    {
        const auto &table = m_nodes[call.ingress].quarantine->table();
        const auto standing = table.standing(RequestDigest(call.content), m_now);
        const auto targets = targetsUp(call.excluded);
        if (standing == RequestStanding::Quarantined || targets.empty()) {
            rejected(call);
            return;
        }
        const MemberRecord *target = &targets[m_random() % targets.size()];
        if (standing == RequestStanding::Suspect || call.knownSuspect) {
            target = targetForSuspect(RequestDigest(call.content), targets, table.endedNodes(RequestDigest(call.content), m_now));
        }
        after(Milliseconds(1), [=, this, index = m_byAddress.at(toString(target->control()))] { arrive(call, index); });
    }

    void arrive(Call call, std::size_t index)
    {
        auto &node = m_nodes[index];
        const RequestDigest digest(call.content);
        const auto &table = node.quarantine->table();
        const auto standing = table.standing(digest, m_now);
        if (!node.up || standing == RequestStanding::Quarantined) {
            rejected(call);
            return;
        }
        if (standing == RequestStanding::Suspect) {
            const auto targets = targetsUp({});
            if (targetForSuspect(digest, targets, table.endedNodes(digest, m_now))->name != m_members[index].name) {
                offerAgain(call);
                return;
            }
            if (node.suspectRunning) {
                after(Milliseconds(5), [=, this] { arrive(call, index); });
                return;
            }
            node.suspectRunning = true;
        }
        const auto id = node.detector.started(digest);
        ++call.attempts;
        call.excluded.push_back(m_members[index].name);
        node.running.emplace(id, call);
        const bool isSuspect = standing == RequestStanding::Suspect;
        const bool isFatal = call.content == FatalContent;
        after(isFatal ? FatalTime : m_scenario.serviceTime, [=, this, incarnation = node.incarnation] {
            if (m_nodes[index].incarnation != incarnation) {
                return;
            }
            if (isFatal) {
                ++m_fatalEnds;
                crash(index);
                return;
            }
            auto &running = m_nodes[index];
            running.running.erase(id);
            running.detector.answered(id, m_now);
            running.suspectRunning = running.suspectRunning && !isSuspect;
            running.quarantine->answered(digest, m_now);
        });
    }

    // Repeats the offer after a rejection that marked the call as suspect.
    void offerAgain(Call call)
    {
        if (++call.offers > 1) {
            rejected(call);
            return;
        }
        call.knownSuspect = true;
        after(Milliseconds(1), [=, this] { start(call); });
    }

    void rejected(const Call &call)
    {
        if (call.content != FatalContent) {
            ++m_rejectedOrdinary;
        }
    }

    void crash(std::size_t index)
    {
        auto &node = m_nodes[index];
        if (!node.up) {
            return;
        }
        ++m_ends;
        node.up = false;
        ++node.incarnation;
        node.suspectRunning = false;
        const auto lost = std::move(node.running);
        node.running.clear();
        if (const auto suspects = node.detector.takeSuspects(m_now); !suspects.empty()) {
            node.quarantine->targetEnded(TargetVersion("v1"), suspects, m_now);
        }
        for (const auto &entry : lost) {
            if (entry.second.attempts < MaxAttempts) {
                after(EndReportTime, [this, call = entry.second] { start(call); });
            }
        }
        after(RestartTime, [this, index] { m_nodes[index].up = true; });
    }

    Scenario m_scenario;
    std::mt19937_64 m_random;
    std::vector<MemberRecord> m_members;
    std::map<std::string, std::size_t> m_byAddress;
    std::vector<Node> m_nodes;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    TimePoint m_now = Begin;
    std::uint64_t m_nextContent = 0;
    std::size_t m_ends = 0;
    std::size_t m_fatalEnds = 0;
    std::size_t m_rejectedOrdinary = 0;
    std::set<RequestDigest> m_wronglyQuarantined;
};

}

// Guards against ends that grow with the size of the fleet or with the number of repeats.
BOOST_AUTO_TEST_CASE(EndsByOneRequestDoNotGrowWithTheFleet)
{
    for (const std::size_t targets : {4U, 26U, 300U}) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Model model({.targets = targets, .copies = 1, .repeats = 200, .length = Milliseconds(10000)}, seed);
            model.run();
            BOOST_TEST(model.fatalEnds() <= 3U, targets << " targets, seed " << seed << ": " << model.fatalEnds() << " targets ended");
        }
    }
}

// Guards against copies at once that each end a target.
BOOST_AUTO_TEST_CASE(CopiesAtOnceEndThreeTargetsAtMost)
{
    for (const std::size_t targets : {4U, 26U, 300U}) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Model model({.targets = targets, .copies = 3, .repeats = 100, .repeatInterval = Milliseconds(30), .length = Milliseconds(10000)}, seed);
            model.run();
            BOOST_TEST(model.fatalEnds() <= 3U, targets << " targets, seed " << seed << ": " << model.fatalEnds() << " targets ended");
        }
    }
}

// Guards against the quarantine of ordinary requests that were running when targets crashed.
BOOST_AUTO_TEST_CASE(OrdinaryCrashesQuarantineNoRequest)
{
    std::size_t ends = 0;
    std::size_t wrong = 0;
    std::size_t rejected = 0;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        for (const auto &scenario : {Scenario{.rate = 150, .crashInterval = Milliseconds(2000), .length = Milliseconds(400000)},
                 Scenario{.targets = 26, .rate = 500, .crashInterval = Milliseconds(8000), .crashShare = 0.15, .length = Milliseconds(200000)}}) {
            Model model(scenario, seed);
            model.run();
            ends += model.ends();
            wrong += model.wronglyQuarantined();
            rejected += model.rejectedOrdinary();
        }
    }
    BOOST_TEST_MESSAGE(ends << " ends, " << wrong << " requests quarantined, " << rejected << " calls rejected");
    BOOST_TEST(ends >= 800U);
    BOOST_TEST(wrong == 0U);
}
