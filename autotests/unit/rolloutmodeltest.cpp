// Explores all states of a small fleet that decides on one rollout, with the real RolloutEntry:
// decisions of several evaluators, reports that are reordered, lost or duplicated, racing writes
// and lost responses, restarts. Guards against two different final stages and against a success
// that stops an old target which still runs a call.

#include "core/rollouts/rolloutentry.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

using namespace Galenahill;

namespace {

constexpr std::size_t Evaluators = 2;
// The last node is beside the only target of the old version.
constexpr std::size_t OldNode = Evaluators;
constexpr std::size_t Nodes = Evaluators + 1;

const TimePoint Now{std::chrono::hours(1)};
const NodeName OldTarget{"old"};

RolloutRecord startedRecord()
{
    // Old enough for every step of the share plan to be over.
    return {.spec = {ServiceName("tablero"), TargetVersion("v2"), Milliseconds(10000), ObjectVersion(1)},
        .storeVersion = ObjectVersion(1),
        .stage = RolloutStage::Running,
        .ageMs = 9000,
        .promotedAtMs = 0,
        .reason = {}};
}

RolloutEntry newEntry()
{
    RolloutEntry entry(startedRecord(), {}, Now - std::chrono::seconds(1));
    entry.mergeStored(ObjectVersion(1), RolloutStage::Running, Now);
    return entry;
}

struct State
{
    std::vector<RolloutEntry> nodes = std::vector<RolloutEntry>(Nodes, newEntry());
    std::uint64_t version = 1;
    std::optional<RolloutStage> stored = RolloutStage::Running;
    int finalStages = 0;
    // Whether a call runs at the old target, and whether the node beside it has reported that none
    // will.
    bool oldRuns = true;
    bool oldRetired = false;
    // Evaluators that rely on that report; they stop doing so before the retirement lease ends.
    std::vector<bool> trustsReport = std::vector<bool>(Evaluators, false);
    int restartsLeft = 1;

    std::string key() const
    {
        std::string key;
        for (const auto &node : nodes) {
            key += std::to_string(static_cast<int>(node.stage())) + "/" + std::to_string(node.record(Now).storeVersion.value())
                + (node.isReportable() ? "," : "?,");
            const auto pending = node.pendingStage(targets(), Now);
            key += pending ? std::to_string(static_cast<int>(*pending)) : "-";
        }
        key += "|" + std::to_string(version) + (stored ? std::to_string(static_cast<int>(*stored)) : "-");
        return key + (oldRuns ? "r" : "") + (oldRetired ? "t" : "") + (trustsReport[0] ? "0" : "") + (trustsReport[1] ? "1" : "")
            + std::to_string(restartsLeft);
    }

    static TargetsByVersion targets()
    {
        return {.newVersionTargets = {NodeName("new")}, .otherVersionReadyCount = 1, .otherVersionTargets = {OldTarget}};
    }

    bool mayRunOnOld() const
    {
        const auto rule = nodes[OldNode].rule(targets(), Now);
        return !rule || rule->mode != VersionRule::Mode::Only;
    }
};

void check(const State &state)
{
    BOOST_REQUIRE(state.finalStages <= 1);
    if (state.stored == RolloutStage::Succeeded) {
        // The platform stops the old targets without warning.
        BOOST_REQUIRE(!state.oldRuns);
    }
    for (const auto &node : state.nodes) {
        const auto rule = node.rule(State::targets(), Now);
        if (node.stage() == RolloutStage::CutOff || node.stage() == RolloutStage::RolledBack) {
            BOOST_REQUIRE((rule && rule->mode == VersionRule::Mode::Excluded));
        }
        if (isFinal(node.stage())) {
            BOOST_REQUIRE((node.stage() == state.stored));
        }
    }
}

void write(State &state, std::size_t evaluator, bool responseLost)
{
    auto &entry = state.nodes[evaluator];
    const auto pending = entry.pendingStage(State::targets(), Now);
    if (!pending) {
        return;
    }
    if (entry.record(Now).storeVersion.value() != state.version) {
        // A conflict: the evaluator reads the current state.
        entry.mergeStored(ObjectVersion(state.version), state.stored, Now);
        return;
    }
    ++state.version;
    state.finalStages += isFinal(*pending) ? 1 : 0;
    state.stored = pending;
    if (!responseLost) {
        entry.mergeStored(ObjectVersion(state.version), pending, Now);
    }
}

// A report arrived, or its validity ended.
void report(State &state, std::size_t evaluator, bool retired)
{
    const TargetCounts counts{.node = OldTarget,
        .process = 1,
        .service = ServiceName("tablero"),
        .version = TargetVersion("v1"),
        .specCreated = ObjectVersion(1),
        .sequence = 1,
        .retired = retired,
        .routes = {}};
    state.nodes[evaluator].merge(counts, Now);
    state.trustsReport[evaluator] = retired;
}

// All states that one event leads to.
std::vector<State> successors(const State &state)
{
    std::vector<State> next;
    const auto add = [&](auto change) {
        next.push_back(state);
        change(next.back());
    };
    for (std::size_t evaluator = 0; evaluator < Evaluators; ++evaluator) {
        add([&](State &s) { s.nodes[evaluator].cutOff("worse", Now - std::chrono::milliseconds(500)); });
        add([&](State &s) {
            auto promoted = s.nodes[evaluator].record(Now);
            promoted.stage = RolloutStage::Promoting;
            promoted.promotedAtMs = 1000;
            s.nodes[evaluator].merge(promoted, Now);
        });
        add([&](State &s) { write(s, evaluator, false); });
        add([&](State &s) { write(s, evaluator, true); });
        add([&](State &s) { s.nodes[evaluator].mergeStored(ObjectVersion(s.version), s.stored, Now); });
        if (state.oldRetired && !state.trustsReport[evaluator]) {
            add([&](State &s) { report(s, evaluator, true); });
        }
        if (state.trustsReport[evaluator]) {
            add([&](State &s) { report(s, evaluator, false); });
        }
        if (state.restartsLeft > 0 && evaluator == 0) {
            add([&](State &s) {
                --s.restartsLeft;
                s.nodes[evaluator] = newEntry();
                s.trustsReport[evaluator] = false;
                s.nodes[evaluator].awaitPeerRecords();
                s.nodes[evaluator].mergeStored(ObjectVersion(s.version), s.stored, Now);
            });
        }
    }
    for (std::size_t from = 0; from < Nodes; ++from) {
        for (std::size_t to = 0; to < Nodes; ++to) {
            if (from != to && state.nodes[from].isReportable()) {
                add([&](State &s) { s.nodes[to].merge(s.nodes[from].record(Now), Now - std::chrono::milliseconds(500)); });
            }
        }
    }
    // The old target finishes its call, and accepts one only if the rule of its node allows it.
    add([](State &s) { s.oldRuns = false; });
    const bool hasLease = state.oldRetired || state.trustsReport[0] || state.trustsReport[1];
    const bool stopped = state.stored == RolloutStage::Succeeded;
    if (state.mayRunOnOld() && !hasLease && !stopped) {
        add([](State &s) { s.oldRuns = true; });
    }
    if (state.oldRetired) {
        // The lease of its last report has ended.
        add([](State &s) { s.oldRetired = false; });
    }
    if (!state.mayRunOnOld() && !state.oldRuns) {
        add([](State &s) { s.oldRetired = true; });
    }
    return next;
}

}

BOOST_AUTO_TEST_CASE(NoRunHasTwoFinalStagesOrStopsAnOldTargetInUse)
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
        for (auto &next : successors(state)) {
            if (seen.insert(next.key()).second) {
                open.push_back(std::move(next));
            }
        }
    }
    BOOST_TEST(succeeded);
    BOOST_TEST(rolledBack);
    BOOST_TEST_MESSAGE(seen.size() << " states");
}
