#include "core/rollouts/rolloutcontroller.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

RolloutSpec spec(std::uint64_t created)
{
    return {ServiceName("tablero"), TargetVersion("v2"), Milliseconds(16000), ObjectVersion(created)};
}

RolloutRecord record(RolloutStage stage, std::uint32_t ageMs, std::uint64_t created = 10)
{
    return {.spec = spec(created), .storeVersion = ObjectVersion(created), .stage = stage, .ageMs = ageMs, .promotedAtMs = 0, .reason = {}};
}

MemberRecord member(int number, const std::string &version)
{
    MemberRecord member;
    member.name = NodeName("node-" + std::to_string(number));
    member.dataCentre = DataCentre("rosario-a");
    member.service = ServiceName("tablero");
    member.address = "10.0.0." + std::to_string(number);
    member.controlPort = 7000;
    member.incarnation = 1;
    member.version = TargetVersion(version);
    member.state = MemberState::Ready;
    return member;
}

struct Fixture
{
    RolloutController controller{{.self = member(1, "v1"),
        .send = [this](const Endpoint &, const RolloutReport &) { ++sent; },
        .targetIdle = [] { return true; },
        .changed = [this](const RolloutRecord &changed, const std::string &) { stages.push_back(changed.stage); }}};
    int sent = 0;
    std::vector<RolloutStage> stages;
    TimePoint now{std::chrono::hours(1)};

    Fixture()
    {
        controller.setMembers({member(1, "v1"), member(2, "v1"), member(3, "v2")}, now);
    }

    void read(std::optional<RolloutStage> stage, std::uint64_t version = 10, std::uint64_t created = 10)
    {
        controller.specRead({spec(created), ObjectVersion(version), stage}, false, now);
    }

    std::optional<VersionRule> rule()
    {
        const auto rules = controller.rules(now);
        return rules.empty() ? std::nullopt : std::optional(rules.begin()->second);
    }
};

}

// Guards against reports that arrive late, twice or in another order.
BOOST_AUTO_TEST_CASE(MergesGiveTheSameResultInAnyOrder)
{
    std::vector<RolloutRecord> reported
        = {record(RolloutStage::Running, 500), record(RolloutStage::Promoting, 9000), record(RolloutStage::CutOff, 700), record(RolloutStage::CutOff, 700)};
    reported[1].promotedAtMs = 8000;
    std::sort(reported.begin(), reported.end(), [](const auto &left, const auto &right) { return left.stage < right.stage; });
    do {
        auto local = record(RolloutStage::Running, 0);
        for (const auto &each : reported) {
            mergeRollout(local, each);
        }
        BOOST_TEST((local.stage == RolloutStage::CutOff));
        BOOST_TEST(local.ageMs == 9000U);
    } while (std::next_permutation(reported.begin(), reported.end(), [](const auto &left, const auto &right) { return left.ageMs < right.ageMs; }));
}

BOOST_AUTO_TEST_CASE(LaterSpecReplacesAnEarlierOneOnly)
{
    auto local = record(RolloutStage::RolledBack, 9000, 10);
    BOOST_TEST((mergeRollout(local, record(RolloutStage::Running, 0, 20)) == RolloutMerge::Spec));
    BOOST_TEST((local.stage == RolloutStage::Running));
    BOOST_TEST((mergeRollout(local, record(RolloutStage::RolledBack, 9000, 10)) == RolloutMerge::Nothing));
    BOOST_TEST((local.stage == RolloutStage::Running));
}

BOOST_AUTO_TEST_CASE(FinalStageInTheStoreIsNeverReverted)
{
    Fixture fixture;
    fixture.read(std::nullopt);
    fixture.read(RolloutStage::RolledBack, 12);
    fixture.read(RolloutStage::Running, 11);
    BOOST_TEST((fixture.rule()->mode == VersionRule::Mode::Excluded));
    // The same spec again, after its end.
    fixture.read(RolloutStage::RolledBack, 14);
    BOOST_TEST((fixture.rule()->mode == VersionRule::Mode::Excluded));
    // A new spec for the same version.
    fixture.read(std::nullopt, 20, 20);
    BOOST_TEST((fixture.rule()->mode == VersionRule::Mode::Canary));
}

BOOST_AUTO_TEST_CASE(RolloutRemovedMidwayLeavesTheVersionWithoutCalls)
{
    Fixture fixture;
    fixture.read(std::nullopt);
    fixture.controller.specRemoved(ServiceName("tablero"), fixture.now);
    BOOST_TEST((fixture.rule()->mode == VersionRule::Mode::Excluded));
    BOOST_TEST(fixture.controller.dueWrites(fixture.now + std::chrono::seconds(5)).empty());
}

BOOST_AUTO_TEST_CASE(SpecMissingFromAListWasRemoved)
{
    Fixture fixture;
    fixture.read(std::nullopt);
    fixture.controller.specsListed({}, ObjectVersion(9), fixture.now);
    BOOST_TEST((fixture.rule()->mode == VersionRule::Mode::Canary));
    fixture.controller.specsListed({}, ObjectVersion(11), fixture.now);
    BOOST_TEST((fixture.rule()->mode == VersionRule::Mode::Excluded));
}

BOOST_AUTO_TEST_CASE(RolloutToTheVersionInForceSucceedsAtOnce)
{
    Fixture fixture;
    fixture.controller.setMembers({member(1, "v2"), member(2, "v2")}, fixture.now);
    fixture.now += std::chrono::seconds(20);
    fixture.read(std::nullopt);
    BOOST_TEST(!fixture.rule());
    fixture.controller.dueWrites(fixture.now);
    const auto writes = fixture.controller.dueWrites(fixture.now + std::chrono::seconds(1));
    BOOST_REQUIRE(writes.size() == 1U);
    BOOST_TEST((writes.front().stage == RolloutStage::Succeeded));
}

// The rollout can't be carried out, and must still end in time.
BOOST_AUTO_TEST_CASE(VersionWithoutTargetsIsRolledBackInTime)
{
    Fixture fixture;
    fixture.controller.setMembers({member(1, "v1"), member(2, "v1")}, fixture.now);
    fixture.read(std::nullopt);
    std::vector<RolloutWrite> writes;
    for (int step = 0; step < 160; ++step) {
        fixture.now += Milliseconds(100);
        fixture.controller.tick(fixture.now);
        for (auto &write : fixture.controller.dueWrites(fixture.now)) {
            fixture.controller.writeCompleted(write, ObjectVersion(write.expected.value() + 1), fixture.now);
            writes.push_back(std::move(write));
        }
    }
    BOOST_REQUIRE(writes.size() == 2U);
    BOOST_TEST((writes.front().stage == RolloutStage::Running));
    BOOST_TEST((writes.back().stage == RolloutStage::RolledBack));
    BOOST_TEST(writes.back().reason.find("no target of the version") != std::string::npos);
}

// Guards against counts and records of unknown nodes, of other services and with values out of
// range.
BOOST_AUTO_TEST_CASE(DropsReportsOfUnknownNodesAndInvalidValues)
{
    Fixture fixture;
    fixture.read(std::nullopt);
    const auto from = member(2, "v1").control();
    RolloutReport report{.records = {record(RolloutStage::CutOff, 100)}, .counts = {}};
    fixture.controller.receive({"10.9.9.9", 7000}, report, fixture.now);
    BOOST_TEST((fixture.rule()->mode == VersionRule::Mode::Canary));
    report.records.front().spec.duration = Milliseconds(0);
    fixture.controller.receive(from, report, fixture.now);
    BOOST_TEST((fixture.rule()->mode == VersionRule::Mode::Canary));
    TargetCounts counts{.node = NodeName("node-2"),
        .process = 1,
        .service = ServiceName("tablero"),
        .version = TargetVersion("v1"),
        .specCreated = ObjectVersion(10),
        .retired = false,
        .routes = {{RouteName("r"), 5, 6, {}}}};
    fixture.controller.receive(from, {.records = {}, .counts = {counts}}, fixture.now);
    counts.routes.front().failures = 1;
    counts.node = NodeName("stranger");
    fixture.controller.receive(from, {.records = {}, .counts = {counts}}, fixture.now);
    BOOST_TEST(fixture.controller.dropped() == 4U);
}

// A rollout that had started before this node learnt of it: the version gets no calls until other
// nodes report their records, and the rollout restarts if all of them were restarted.
BOOST_AUTO_TEST_CASE(RolloutAlreadyStartedWaitsForPeerRecords)
{
    Fixture fixture;
    fixture.controller.specRead({spec(10), ObjectVersion(11), RolloutStage::Running}, true, fixture.now);
    BOOST_TEST((fixture.rule()->mode == VersionRule::Mode::Excluded));
    fixture.controller.tick(fixture.now);
    BOOST_TEST(fixture.sent == 0);
    fixture.now += Milliseconds(2100);
    fixture.controller.tick(fixture.now);
    BOOST_TEST((fixture.rule()->mode == VersionRule::Mode::Canary));
}

// Guards against a service without targets: all targets of the new version fail while it gets all
// calls.
BOOST_AUTO_TEST_CASE(PromotedVersionWithoutTargetsIsCutOff)
{
    Fixture fixture;
    fixture.read(std::nullopt);
    auto promoted = record(RolloutStage::Promoting, 13000);
    promoted.promotedAtMs = 10000;
    fixture.controller.receive(member(2, "v1").control(), {.records = {promoted}, .counts = {}}, fixture.now);
    BOOST_TEST((fixture.rule()->mode == VersionRule::Mode::Only));
    fixture.controller.setMembers({member(1, "v1"), member(2, "v1")}, fixture.now);
    fixture.now += Milliseconds(600);
    fixture.controller.tick(fixture.now);
    BOOST_TEST((fixture.rule()->mode == VersionRule::Mode::Excluded));
}
