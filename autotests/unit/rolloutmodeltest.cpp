// All runs of a small fleet that decides on one rollout: verdicts of several judges,
// reports in any order, lost or repeated, writes that race and whose answers are lost,
// restarts. Explored over the product's own RolloutEntry.

#include "core/rollouts/rolloutentry.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

using namespace Galenahill;

namespace {

constexpr std::size_t Judges = 2;
// The last node stands beside the only target of the old version.
constexpr std::size_t OldNode = Judges;
constexpr std::size_t Nodes = Judges + 1;

const TimePoint Now{std::chrono::hours(1)};
const NodeName OldTarget{"old"};

RolloutRecord begun()
{
    // Old enough for each step of the plan to be over.
    return {.order = {ServiceName("tablero"), TargetVersion("v2"), Milliseconds(10000), ObjectVersion(1)},
        .seen = ObjectVersion(1),
        .stage = RolloutStage::Running,
        .ageMs = 9000,
        .promotedAtMs = 0,
        .reason = {}};
}

RolloutEntry newEntry()
{
    RolloutEntry entry(begun(), {}, Now - std::chrono::seconds(1));
    entry.takeStored(ObjectVersion(1), RolloutStage::Running, Now);
    return entry;
}

struct State
{
    std::vector<RolloutEntry> nodes = std::vector<RolloutEntry>(Nodes, newEntry());
    std::uint64_t version = 1;
    std::optional<RolloutStage> stored = RolloutStage::Running;
    int verdicts = 0;
    // A call runs at the old target, and the node beside it says that none will.
    bool oldRuns = true;
    bool oldRetired = false;
    // Judges that believe the report of it; they stop to before the promise ends.
    std::vector<bool> believes = std::vector<bool>(Judges, false);
    int restartsLeft = 1;

    std::string key() const
    {
        std::string key;
        for (const auto &node : nodes) {
            key += std::to_string(static_cast<int>(node.stage())) + "/" + std::to_string(node.record(Now).seen.value()) + (node.isCertain() ? "," : "?,");
            const auto wanted = node.wantedInStore(census(), Now);
            key += wanted ? std::to_string(static_cast<int>(*wanted)) : "-";
        }
        key += "|" + std::to_string(version) + (stored ? std::to_string(static_cast<int>(*stored)) : "-");
        return key + (oldRuns ? "r" : "") + (oldRetired ? "t" : "") + (believes[0] ? "0" : "") + (believes[1] ? "1" : "") + std::to_string(restartsLeft);
    }

    static VersionCensus census()
    {
        return {.ofVersion = {NodeName("new")}, .othersReady = 1, .others = {OldTarget}};
    }

    bool mayRunOnOld() const
    {
        const auto rule = nodes[OldNode].rule(census(), Now);
        return !rule || rule->mode != VersionRule::Mode::Only;
    }
};

void check(const State &state)
{
    BOOST_REQUIRE(state.verdicts <= 1);
    if (state.stored == RolloutStage::Succeeded) {
        // The old targets are stopped without warning.
        BOOST_REQUIRE(!state.oldRuns);
    }
    for (const auto &node : state.nodes) {
        const auto rule = node.rule(State::census(), Now);
        if (node.stage() == RolloutStage::CutOff || node.stage() == RolloutStage::RolledBack) {
            BOOST_REQUIRE((rule && rule->mode == VersionRule::Mode::Excluded));
        }
        if (isFinal(node.stage())) {
            BOOST_REQUIRE((node.stage() == state.stored));
        }
    }
}

void write(State &state, std::size_t judge, bool answerLost)
{
    auto &entry = state.nodes[judge];
    const auto wanted = entry.wantedInStore(State::census(), Now);
    if (!wanted) {
        return;
    }
    if (entry.record(Now).seen.value() != state.version) {
        // A conflict: the judge reads what is there.
        entry.takeStored(ObjectVersion(state.version), state.stored, Now);
        return;
    }
    ++state.version;
    state.verdicts += isFinal(*wanted) ? 1 : 0;
    state.stored = wanted;
    if (!answerLost) {
        entry.takeStored(ObjectVersion(state.version), wanted, Now);
    }
}

// A report came, or the belief in it ran out.
void report(State &state, std::size_t judge, bool retired)
{
    const TargetCounts counts{.node = OldTarget,
        .process = 1,
        .service = ServiceName("tablero"),
        .version = TargetVersion("v1"),
        .order = ObjectVersion(1),
        .report = 1,
        .retired = retired,
        .routes = {}};
    state.nodes[judge].merge(counts, Now);
    state.believes[judge] = retired;
}

// Every state that one event leads to.
std::vector<State> after(const State &state)
{
    std::vector<State> next;
    const auto add = [&](auto change) {
        next.push_back(state);
        change(next.back());
    };
    for (std::size_t judge = 0; judge < Judges; ++judge) {
        add([&](State &s) { s.nodes[judge].cutOff("worse", Now - std::chrono::milliseconds(500)); });
        add([&](State &s) {
            auto promoted = s.nodes[judge].record(Now);
            promoted.stage = RolloutStage::Promoting;
            promoted.promotedAtMs = 1000;
            s.nodes[judge].merge(promoted, Now);
        });
        add([&](State &s) { write(s, judge, false); });
        add([&](State &s) { write(s, judge, true); });
        add([&](State &s) { s.nodes[judge].takeStored(ObjectVersion(s.version), s.stored, Now); });
        if (state.oldRetired && !state.believes[judge]) {
            add([&](State &s) { report(s, judge, true); });
        }
        if (state.believes[judge]) {
            add([&](State &s) { report(s, judge, false); });
        }
        if (state.restartsLeft > 0 && judge == 0) {
            add([&](State &s) {
                --s.restartsLeft;
                s.nodes[judge] = newEntry();
                s.believes[judge] = false;
                s.nodes[judge].awaitEvidence();
                s.nodes[judge].takeStored(ObjectVersion(s.version), s.stored, Now);
            });
        }
    }
    for (std::size_t from = 0; from < Nodes; ++from) {
        for (std::size_t to = 0; to < Nodes; ++to) {
            if (from != to && state.nodes[from].isCertain()) {
                add([&](State &s) { s.nodes[to].merge(s.nodes[from].record(Now), Now - std::chrono::milliseconds(500)); });
            }
        }
    }
    // The old target ends its call, and takes one only where its node lets it.
    add([](State &s) { s.oldRuns = false; });
    const bool promised = state.oldRetired || state.believes[0] || state.believes[1];
    const bool stopped = state.stored == RolloutStage::Succeeded;
    if (state.mayRunOnOld() && !promised && !stopped) {
        add([](State &s) { s.oldRuns = true; });
    }
    if (state.oldRetired) {
        // Its last report of it has run out.
        add([](State &s) { s.oldRetired = false; });
    }
    if (!state.mayRunOnOld() && !state.oldRuns) {
        add([](State &s) { s.oldRetired = true; });
    }
    return next;
}

}

BOOST_AUTO_TEST_CASE(NoRunHasTwoVerdictsOrStopsAnOldTargetInUse)
{
    std::set<std::string> seen;
    std::vector<State> open{State()};
    bool succeeded = false;
    bool rolledBack = false;
    while (!open.empty()) {
        const auto state = std::move(open.back());
        open.pop_back();
        check(state);
        succeeded = succeeded || state.stored == RolloutStage::Succeeded;
        rolledBack = rolledBack || state.stored == RolloutStage::RolledBack;
        for (auto &next : after(state)) {
            if (seen.insert(next.key()).second) {
                open.push_back(std::move(next));
            }
        }
    }
    BOOST_TEST(succeeded);
    BOOST_TEST(rolledBack);
    BOOST_TEST_MESSAGE(seen.size() << " states");
}
