#include "rolloutfleet.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;
using namespace Galenahill::Test;

namespace {

constexpr double ExposureShare = 0.1;
constexpr double ExposureSlack = 50;

using Behaviour = RolloutFleet::Behaviour;
using Situation = RolloutFleet::Situation;
using Fault = std::function<Behaviour(const Situation &)>;

Behaviour failingIf(const Situation &at, bool when)
{
    return {.slowdown = 1, .failureRate = at.ofNewVersion && when ? 0.5 : 0};
}

const std::map<std::string, Fault> &badVersions()
{
    static const std::map<std::string, Fault> faults = {
        {"errors", [](const Situation &at) { return failingIf(at, true); }},
        {"slow", [](const Situation &at) { return Behaviour{.slowdown = at.ofNewVersion ? 8.0 : 1.0, .failureRate = 0}; }},
        {"half of the calls slow", [](const Situation &at) { return Behaviour{.slowdown = at.ofNewVersion && at.isOddCall ? 8.0 : 1.0, .failureRate = 0}; }},
        {"four times as slow", [](const Situation &at) { return Behaviour{.slowdown = at.ofNewVersion ? 4.0 : 1.0, .failureRate = 0}; }},
        {"one route", [](const Situation &at) { return failingIf(at, at.route == 1); }},
        {"late", [](const Situation &at) { return failingIf(at, at.seconds > 7); }},
        {"under load", [](const Situation &at) { return failingIf(at, at.load > 0.6); }},
    };
    return faults;
}

// Disturbances that affect both versions, or only some nodes.
const std::map<std::string, std::function<void(RolloutFleet::Options &)>> &disturbances()
{
    using Options = RolloutFleet::Options;
    static const std::map<std::string, std::function<void(Options &)>> all = {
        {"none", [](Options &) {}},
        {"store not responding", [](Options &options) { options.storeResponds = [](std::size_t, double at) { return at < 3 || at > 8; }; }},
        {"store rejects a third of the nodes", [](Options &options) { options.storeResponds = [](std::size_t node, double) { return node % 3 != 0; }; }},
        {"nodes partitioned", [](Options &options) { options.isPartitioned = [](std::size_t node, double at) { return node % 7 == 0 && at > 3 && at < 8; }; }},
        {"half restarted", [](Options &options) { options.restarts = [](std::size_t node, double at) { return node % 2 == 0 && at > 5 && at < 5.2; }; }},
        {"burst", [](Options &options) { options.burst = [](double at) { return at > 6 && at < 9 ? 1.7 : 1.0; }; }},
    };
    return all;
}

RolloutFleet::Result simulate(std::uint64_t seed, const Fault &fault, const std::function<void(RolloutFleet::Options &)> &disturbance)
{
    RolloutFleet::Options options;
    options.seed = seed;
    options.behaviour = fault;
    disturbance(options);
    return RolloutFleet(std::move(options)).run();
}

Behaviour noFault(const Situation &)
{
    return {};
}

}

BOOST_AUTO_TEST_CASE(BadVersionIsCutOffWithinItsExposure)
{
    for (const auto &[variant, fault] : badVersions()) {
        for (const auto &[name, disturbance] : disturbances()) {
            BOOST_TEST_CONTEXT(variant << " with disturbance " << name)
            {
                const auto result = simulate(1, fault, disturbance);
                const auto allowed = ExposureShare * static_cast<double>(result.calls) / 1.3 + ExposureSlack;
                BOOST_TEST(static_cast<double>(result.newVersionCalls) <= allowed);
                BOOST_TEST(result.lateNewVersionCalls == 0U);
                BOOST_TEST((result.end() == RolloutStage::RolledBack));
                BOOST_TEST(result.writtenAt <= 16.0);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(GoodVersionSucceedsInTimeWithAllSeeds)
{
    std::uint64_t seed = 100;
    for (int round = 0; round < 9; ++round) {
        for (const auto &[name, disturbance] : disturbances()) {
            BOOST_TEST_CONTEXT("seed " << ++seed << " with disturbance " << name)
            {
                const auto result = simulate(seed, noFault, disturbance);
                BOOST_TEST((result.end() == RolloutStage::Succeeded));
                BOOST_TEST(result.writtenAt <= 16.0);
                BOOST_TEST(result.runningOnOld == 0U);
            }
        }
    }
}

// Guards against rejecting a good version for faults that the other versions have as well.
BOOST_AUTO_TEST_CASE(FaultsOfBothVersionsDontRejectTheNewOne)
{
    const std::map<std::string, Fault> shared = {
        {"one old target in seven fails", [](const Situation &at) { return Behaviour{.slowdown = 1, .failureRate = at.target % 7 == 0 ? 0.45 : 0}; }},
        {"all fail for a while", [](const Situation &at) { return Behaviour{.slowdown = 1, .failureRate = at.seconds > 4 && at.seconds < 8 ? 0.4 : 0}; }},
        {"all are slow for a while", [](const Situation &at) { return Behaviour{.slowdown = at.seconds > 4 && at.seconds < 8 ? 5.0 : 1.0, .failureRate = 0}; }},
        {"one new target is slow", [](const Situation &at) { return Behaviour{.slowdown = at.target == 25 ? 8.0 : 1.0, .failureRate = 0}; }},
        {"one new target fails", [](const Situation &at) { return Behaviour{.slowdown = 1, .failureRate = at.target == 25 ? 0.9 : 0}; }},
    };
    for (const auto &[name, fault] : shared) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            BOOST_TEST_CONTEXT(name << ", seed " << seed)
            {
                BOOST_TEST((simulate(seed, fault, [](RolloutFleet::Options &) {}).end() == RolloutStage::Succeeded));
            }
        }
    }
}

// The shares are designed for these rates and durations. Below some twenty calls a second, a bad
// version is detected too late and a good one isn't promoted.
BOOST_AUTO_TEST_CASE(OtherRatesAndDurations)
{
    struct Size
    {
        double rate;
        int seconds;
        std::size_t targets;
        std::size_t slots;
    };
    for (const auto &size : {Size{20, 60, 3, 6}, Size{100, 16, 6, 6}, Size{100, 12, 12, 3}, Size{800, 12, 20, 13}, Size{800, 60, 36, 40}}) {
        for (const bool bad : {false, true}) {
            BOOST_TEST_CONTEXT(size.rate << " calls a second, " << size.seconds << " s" << (bad ? ", bad" : ""))
            {
                RolloutFleet::Options options;
                options.duration = std::chrono::seconds(size.seconds);
                options.callsPerSecond = size.rate;
                options.oldTargets = size.targets;
                options.newTargets = size.targets;
                options.slots = size.slots;
                options.routeMs = {100, 50};
                if (bad) {
                    options.behaviour = badVersions().at("errors");
                }
                const auto result = RolloutFleet(options).run();
                BOOST_TEST((result.end() == (bad ? RolloutStage::RolledBack : RolloutStage::Succeeded)));
                BOOST_TEST(result.writtenAt <= static_cast<double>(size.seconds));
                BOOST_TEST(result.lateNewVersionCalls == 0U);
                BOOST_TEST((!bad || static_cast<double>(result.newVersionCalls) <= ExposureShare * static_cast<double>(result.calls) / 1.3 + ExposureSlack));
            }
        }
    }
}
