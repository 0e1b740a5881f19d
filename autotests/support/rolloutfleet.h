#pragma once

#include "core/rollouts/rolloutcontrol.h"
#include "core/rollouts/versionsplit.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace Galenahill::Test {

// A fleet in which one service's calls are moved to another version, over the
// product's own decisions: nodes with their rollouts, targets with slots, datagrams
// that are late and lost, and the store. No socket, no clock; one seed gives one run.
class RolloutFleet
{
public:
    // What a target does to a call: how many times as long it takes, and whether it fails.
    struct Behaviour
    {
        double slowdown = 1;
        double failing = 0;
    };

    // What a target can know of the moment.
    struct Situation
    {
        bool ofNewVersion = false;
        std::size_t target = 0;
        std::size_t route = 0;
        double seconds = 0;
        // Calls that run there, as a share of the slots.
        double load = 0;
        // True for every other call.
        bool odd = false;
    };

    struct Options
    {
        std::uint64_t seed = 1;
        Milliseconds duration{16000};
        double callsPerSecond = 800;
        std::size_t oldTargets = 20;
        std::size_t newTargets = 20;
        std::size_t slots = 13;
        std::vector<double> routeMs = {210, 60};
        double lostDatagrams = 0.05;
        std::function<Behaviour(const Situation &)> behaviour = [](const Situation &) { return Behaviour(); };
        // Whether the store answers the node; a node that is cut off neither hears
        // nor is heard by others.
        std::function<bool(std::size_t node, double seconds)> storeAnswers = [](std::size_t, double) { return true; };
        std::function<bool(std::size_t node, double seconds)> cutOff = [](std::size_t, double) { return false; };
        // Nodes whose process starts anew at that moment.
        std::function<bool(std::size_t node, double seconds)> restarts = [](std::size_t, double) { return false; };
        // Calls at that moment as a multiple of the usual rate.
        std::function<double(double seconds)> burst = [](double) { return 1.0; };
    };

    struct Result
    {
        std::vector<RolloutStage> written;
        double writtenAt = 0;
        std::size_t calls = 0;
        std::size_t newVersionCalls = 0;
        std::size_t badAnswers = 0;
        // Calls sent to the version later than five seconds after its 50th bad answer.
        std::size_t afterCutOff = 0;
        // Calls that ran on old targets as the success was written.
        std::size_t runningOnOld = 0;
        std::size_t unplaced = 0;
        std::size_t datagramBytes = 0;

        std::optional<RolloutStage> end() const
        {
            return !written.empty() && isFinal(written.back()) ? std::optional(written.back()) : std::nullopt;
        }
    };

    explicit RolloutFleet(Options options);

    // Plays the order from its beginning to a third beyond its time.
    Result run();

private:
    static constexpr Milliseconds Step{20};
    static constexpr Milliseconds Tick{100};
    static inline const ServiceName Service{"tablero"};
    // Seconds after the order at which the new version's targets take calls, and at
    // which they are no longer slow.
    static constexpr double NewReadyAt = 2;
    static constexpr double NewWarmAt = 5;

    struct Call
    {
        std::size_t route = 0;
        TimePoint end;
        Milliseconds time{0};
        TargetEnd how = TargetEnd::Answered;
        bool bad = false;
    };

    struct Node
    {
        MemberRecord record;
        std::unique_ptr<RolloutControl> control;
        std::unique_ptr<VersionSplit> split;
        std::vector<Call> running;
        std::optional<VersionRule> rule;
        std::optional<VersionRule> ownRule;
        ObjectVersion read;
        bool wasRestarting = false;
    };

    struct Datagram
    {
        TimePoint due;
        std::size_t from = 0;
        std::size_t to = 0;
        RolloutReport report;
    };

    Options m_options;
    std::mt19937_64 m_random;
    std::vector<Node> m_nodes;
    std::vector<Datagram> m_datagrams;
    std::size_t m_members = 0;
    TimePoint m_now{std::chrono::hours(1)};
    double m_seconds = 0;
    RolloutOrder m_order;
    ObjectVersion m_version{10};
    std::optional<RolloutStage> m_stage;
    std::optional<double> m_fiftiethBad;
    Result m_result;

    double uniform();
    bool isNew(std::size_t node) const;
    MemberRecord recordOf(std::size_t i) const;
    // The new version's targets join when they are ready.
    std::vector<MemberRecord> members() const;
    void start(std::size_t i);
    Milliseconds secondsSinceOrder() const;
    void changeStore(std::optional<RolloutStage> stage);
    void send(std::size_t from, const Endpoint &to, const RolloutReport &report);
    void deliver();
    void updateRule(std::size_t node);
    bool takes(std::size_t target, bool assigned) const;
    std::optional<std::size_t> place(bool onNew, bool assigned, const std::vector<NodeName> &chosen);
    void beginCalls();
    void beginCall(std::size_t ingress);
    void run(std::size_t target);
    void endCalls();
    void tick();
    void readStore(std::size_t i);
    void writeStore(std::size_t i);
};

}
