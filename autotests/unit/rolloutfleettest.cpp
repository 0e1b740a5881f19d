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

Behaviour failing(const Situation &at, bool when)
{
    return {.slowdown = 1, .failing = at.ofNewVersion && when ? 0.5 : 0};
}

const std::map<std::string, Fault> &badVersions()
{
    static const std::map<std::string, Fault> faults = {
        {"errors", [](const Situation &at) { return failing(at, true); }},
        {"slow", [](const Situation &at) { return Behaviour{.slowdown = at.ofNewVersion ? 8.0 : 1.0, .failing = 0}; }},
        {"half of the calls slow", [](const Situation &at) { return Behaviour{.slowdown = at.ofNewVersion && at.odd ? 8.0 : 1.0, .failing = 0}; }},
        {"four times as slow", [](const Situation &at) { return Behaviour{.slowdown = at.ofNewVersion ? 4.0 : 1.0, .failing = 0}; }},
        {"one route", [](const Situation &at) { return failing(at, at.route == 1); }},
        {"late", [](const Situation &at) { return failing(at, at.seconds > 7); }},
        {"under load", [](const Situation &at) { return failing(at, at.load > 0.6); }},
    };
    return faults;
}

// Whatever else happens: troubles that touch both versions, or only some nodes.
const std::map<std::string, std::function<void(RolloutFleet::Options &)>> &troubles()
{
    using Options = RolloutFleet::Options;
    static const std::map<std::string, std::function<void(Options &)>> all = {
        {"none", [](Options &) {}},
        {"store out", [](Options &options) { options.storeAnswers = [](std::size_t, double at) { return at < 3 || at > 8; }; }},
        {"store refuses a third", [](Options &options) { options.storeAnswers = [](std::size_t node, double) { return node % 3 != 0; }; }},
        {"nodes cut off", [](Options &options) { options.cutOff = [](std::size_t node, double at) { return node % 7 == 0 && at > 3 && at < 8; }; }},
        {"half restarted", [](Options &options) { options.restarts = [](std::size_t node, double at) { return node % 2 == 0 && at > 5 && at < 5.2; }; }},
        {"burst", [](Options &options) { options.burst = [](double at) { return at > 6 && at < 9 ? 1.7 : 1.0; }; }},
    };
    return all;
}

RolloutFleet::Result played(std::uint64_t seed, const Fault &fault, const std::function<void(RolloutFleet::Options &)> &trouble)
{
    RolloutFleet::Options options;
    options.seed = seed;
    options.behaviour = fault;
    trouble(options);
    return RolloutFleet(std::move(options)).run();
}

Behaviour sound(const Situation &)
{
    return {};
}

}

BOOST_AUTO_TEST_CASE(ABadVersionIsCutOffBeforeItsExposureIsUsedUp)
{
    for (const auto &[variant, fault] : badVersions()) {
        for (const auto &[name, trouble] : troubles()) {
            BOOST_TEST_CONTEXT(variant << " beside " << name)
            {
                const auto result = played(1, fault, trouble);
                const auto allowed = ExposureShare * static_cast<double>(result.calls) / 1.3 + ExposureSlack;
                BOOST_TEST(static_cast<double>(result.newVersionCalls) <= allowed);
                BOOST_TEST(result.afterCutOff == 0U);
                BOOST_TEST((result.end() == RolloutStage::RolledBack));
                BOOST_TEST(result.writtenAt <= 16.0);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(AGoodVersionSucceedsInTimeInAllSeeds)
{
    std::uint64_t seed = 100;
    for (int round = 0; round < 9; ++round) {
        for (const auto &[name, trouble] : troubles()) {
            BOOST_TEST_CONTEXT("seed " << ++seed << " beside " << name)
            {
                const auto result = played(seed, sound, trouble);
                BOOST_TEST((result.end() == RolloutStage::Succeeded));
                BOOST_TEST(result.writtenAt <= 16.0);
                BOOST_TEST(result.runningOnOld == 0U);
            }
        }
    }
}

// Guards against a good version that is blamed for what also happens to the others.
BOOST_AUTO_TEST_CASE(TroublesOfBothVersionsDontConvict)
{
    const std::map<std::string, Fault> shared = {
        {"one old target in seven fails", [](const Situation &at) { return Behaviour{.slowdown = 1, .failing = at.target % 7 == 0 ? 0.45 : 0}; }},
        {"all fail for a while", [](const Situation &at) { return Behaviour{.slowdown = 1, .failing = at.seconds > 4 && at.seconds < 8 ? 0.4 : 0}; }},
        {"all are slow for a while", [](const Situation &at) { return Behaviour{.slowdown = at.seconds > 4 && at.seconds < 8 ? 5.0 : 1.0, .failing = 0}; }},
        {"one new target is slow", [](const Situation &at) { return Behaviour{.slowdown = at.target == 25 ? 8.0 : 1.0, .failing = 0}; }},
        {"one new target fails", [](const Situation &at) { return Behaviour{.slowdown = 1, .failing = at.target == 25 ? 0.9 : 0}; }},
    };
    for (const auto &[name, fault] : shared) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            BOOST_TEST_CONTEXT(name << ", seed " << seed)
            {
                BOOST_TEST((played(seed, fault, [](RolloutFleet::Options &) {}).end() == RolloutStage::Succeeded));
            }
        }
    }
}

// The shares are worked out for these rates and times; below some twenty calls a second
// a bad version shows too late, and a good one isn't promoted.
BOOST_AUTO_TEST_CASE(OtherRatesAndTimes)
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
                BOOST_TEST(result.afterCutOff == 0U);
                BOOST_TEST((!bad || static_cast<double>(result.newVersionCalls) <= ExposureShare * static_cast<double>(result.calls) / 1.3 + ExposureSlack));
            }
        }
    }
}
