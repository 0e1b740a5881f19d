#pragma once

#include "core/rollouts/rolloutcontroller.h"
#include "core/rollouts/versionsplit.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace Galenahill::Test {

// Simulates a fleet that moves a service's calls to another version, with the real rollout code:
// nodes with their rollouts, targets with slots, delayed and lost datagrams, and the store. Uses no
// sockets and no clock; the same seed gives the same run.
class RolloutFleet
{
public:
    // How a target handles a call: by which factor the call is slowed down, and the probability
    // that it fails.
    struct Behaviour
    {
        double slowdown = 1;
        double failureRate = 0;
    };

    // State of a target when a call starts.
    struct Situation
    {
        bool ofNewVersion = false;
        std::size_t target = 0;
        std::size_t route = 0;
        double seconds = 0;
        // Calls that run at the target, as a share of its slots.
        double load = 0;
        // True for every other call.
        bool isOddCall = false;
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
        double datagramLoss = 0.05;
        std::function<Behaviour(const Situation &)> behaviour = [](const Situation &) { return Behaviour(); };
        // Whether the store responds to the node, and whether the node is partitioned from the
        // others.
        std::function<bool(std::size_t node, double seconds)> storeResponds = [](std::size_t, double) { return true; };
        std::function<bool(std::size_t node, double seconds)> isPartitioned = [](std::size_t, double) { return false; };
        // Whether the node's process restarts at that time.
        std::function<bool(std::size_t node, double seconds)> restarts = [](std::size_t, double) { return false; };
        // Call rate at that time as a multiple of callsPerSecond.
        std::function<double(double seconds)> burst = [](double) { return 1.0; };
    };

    struct Result
    {
        std::vector<RolloutStage> written;
        double writtenAt = 0;
        std::size_t calls = 0;
        std::size_t newVersionCalls = 0;
        std::size_t badResponses = 0;
        // Calls sent to the new version more than five seconds after its 50th bad response.
        std::size_t lateNewVersionCalls = 0;
        // Calls that ran on old targets when the success was written.
        std::size_t runningOnOld = 0;
        std::size_t callsWithoutTarget = 0;
        std::size_t datagramBytes = 0;

        std::optional<RolloutStage> end() const
        {
            return !written.empty() && isFinal(written.back()) ? std::optional(written.back()) : std::nullopt;
        }
    };

    explicit RolloutFleet(Options options);

    // Simulates the rollout from its start to 30% beyond its duration.
    Result run();

private:
    static constexpr Milliseconds Step{20};
    static constexpr Milliseconds Tick{100};
    static inline const ServiceName Service{"tablero"};
    // Seconds after the start of the rollout at which the targets of the new version accept calls,
    // and at which they are no longer slow.
    static constexpr double NewReadyAt = 2;
    static constexpr double NewWarmAt = 5;

    struct Call
    {
        std::size_t route = 0;
        TimePoint end;
        Milliseconds time{0};
        TargetResult result = TargetResult::Answered;
        bool bad = false;
    };

    struct Node
    {
        MemberRecord record;
        std::unique_ptr<RolloutController> controller;
        std::unique_ptr<VersionSplit> split;
        std::vector<Call> running;
        std::optional<VersionRule> rule;
        std::optional<VersionRule> localRule;
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
    RolloutSpec m_spec;
    ObjectVersion m_version{10};
    std::optional<RolloutStage> m_stage;
    std::optional<double> m_fiftiethBadAt;
    Result m_result;

    double uniform();
    bool isNew(std::size_t node) const;
    MemberRecord recordOf(std::size_t i) const;
    // The targets of the new version join when they are ready.
    std::vector<MemberRecord> members() const;
    void start(std::size_t i);
    Milliseconds timeSinceStart() const;
    void changeStore(std::optional<RolloutStage> stage);
    void send(std::size_t from, const Endpoint &to, const RolloutReport &report);
    void deliver();
    void updateRule(std::size_t node);
    bool accepts(std::size_t target, bool assigned) const;
    std::optional<std::size_t> chooseTarget(bool onNew, bool assigned, const std::vector<NodeName> &chosen);
    void beginCalls();
    void beginCall(std::size_t ingress);
    void run(std::size_t target);
    void endCalls();
    void tick();
    void readStore(std::size_t i);
    void writeStore(std::size_t i);
};

}
