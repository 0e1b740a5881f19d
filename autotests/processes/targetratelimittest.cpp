// Targets that state a rate limit in their responses, with real processes. Checks the arrivals in the
// targets' logs.

#include "statementfixture.h"

#include <algorithm>
#include <csignal>
#include <set>

using namespace Galenahill;

namespace {

using Microseconds = std::chrono::microseconds;

struct Fixture : StatementFixture
{
    explicit Fixture(std::size_t nodes)
        : StatementFixture(12, nodes, "targetratelimit")
    {
    }

    static Microseconds now()
    {
        return std::chrono::duration_cast<Microseconds>(Clock::now().time_since_epoch());
    }

    // Number of calls that arrived at the target's last start between the times.
    std::size_t arrivals(std::size_t node, Microseconds from, Microseconds to) const
    {
        const auto name = fmt::format("t-{}-", node);
        std::size_t count = 0;
        for (const auto &target : fleet.targetHistories()) {
            if (target.target.starts_with(name)) {
                count = static_cast<std::size_t>(std::count_if(
                    target.arrivals.begin(), target.arrivals.end(), [&](const auto &arrival) { return arrival.time >= from && arrival.time < to; }));
            }
        }
        return count;
    }

    // Sends calls until the limit is known to the target's node.
    void spreadStatement()
    {
        call(60, 60, fmt::format("spread-{}", nextLoad++));
    }
};

struct ThreeNodes : Fixture
{
    ThreeNodes()
        : Fixture(3)
    {
    }
};

struct OneNode : Fixture
{
    OneNode()
        : Fixture(1)
    {
    }
};

}

// Guards against a target in need that gets its share of the calls whatever rate it states, and against
// calls beyond the limit, a quarter of all, that are rejected though the other targets have room.
BOOST_FIXTURE_TEST_CASE(HoldsTheRateThatATargetStates, ThreeNodes)
{
    const auto records = callWhile(120, Milliseconds(11000), Milliseconds(500), [&] { stateRateLimit(0, "6.5"); });
    const auto violations = rateLimitViolations({.targets = fleet.targetHistories(), .calls = records});
    BOOST_TEST(violations.empty(), joined(violations));
    BOOST_TEST(countOf(records, CallOutcome::Answered) >= static_cast<std::ptrdiff_t>(records.size() * 85 / 100));
}

// Guards against a limit that keeps all calls away, and against calls that wait for their deadline or run
// although they were rejected. How much of the limit is used is shown in model time, in
// targetratelimitertest.
BOOST_FIXTURE_TEST_CASE(UsesTheRateAndRejectsTheRestAtOnce, OneNode)
{
    stateRateLimit(0, "10");
    spreadStatement();
    const auto begin = now();
    const auto records = call(40, 320, "steady");
    const auto end = now();
    const auto arrived = static_cast<double>(arrivals(0, begin, end));
    const double seconds = std::chrono::duration<double>(end - begin).count();
    BOOST_TEST(arrived >= 0.5 * 10 * seconds);
    BOOST_TEST(arrived <= 10 * seconds + 10);
    const auto executed = fleet.executedCalls();
    const std::set<std::string> ran(executed.begin(), executed.end());
    std::size_t rejected = 0;
    std::size_t late = 0;
    for (const auto &record : records) {
        if (record.outcome == CallOutcome::NotRun) {
            BOOST_TEST(record.status == 503);
            BOOST_TEST(!ran.contains(record.id), record.id);
            ++rejected;
            late += record.latency >= CallTimeout / 2 ? 1 : 0;
        }
    }
    BOOST_TEST(rejected > records.size() / 2);
    BOOST_TEST(late < rejected / 10);
}

// Guards against a limit that the restart of a node forgets, with the calls of the other nodes all
// reaching the target at once.
BOOST_FIXTURE_TEST_CASE(HoldsTheRateOverARestartOfTheNode, ThreeNodes)
{
    for (std::size_t node = 0; node < 3; ++node) {
        stateRateLimit(node, "5");
    }
    const auto records = callWhile(90, Milliseconds(12000), Milliseconds(5000), [&] {
        fleet.nodeProcess(0).signal(SIGKILL);
        fleet.nodeProcess(0).wait();
        fleet.startNode(0);
    });
    StatementRecords all{.targets = fleet.targetHistories(), .calls = records};
    // Only the restarted node is excused, for good.
    all.disruptions.push_back({.node = 0, .begin = TimePoint(), .end = TimePoint::max()});
    const auto violations = rateLimitViolations(all);
    BOOST_TEST(violations.empty(), joined(violations));
}

// Guards against a target that is kept short of calls after its need has ended, or for what its former
// process stated.
BOOST_FIXTURE_TEST_CASE(LiftedLimitAndRestartedTargetAreUnlimited, OneNode)
{
    stateRateLimit(0, "2");
    spreadStatement();
    stateRateLimit(0, "");
    // At two calls a second the statement needs a call or a health check to arrive.
    std::this_thread::sleep_for(Milliseconds(1000));
    spreadStatement();
    const auto untilLifted = Clock::now() + StartLimit;
    while (!allAnswered(call(40, 80, fmt::format("lifted-{}", nextLoad++)))) {
        BOOST_REQUIRE(Clock::now() < untilLifted);
    }

    stateRateLimit(0, "2");
    spreadStatement();
    fleet.targetProcess(0).signal(SIGKILL);
    fleet.targetProcess(0).wait();
    fleet.startTarget(0);
    const auto until = Clock::now() + StartLimit;
    while (!allAnswered(call(40, 40, fmt::format("restarted-{}", nextLoad++)))) {
        BOOST_REQUIRE(Clock::now() < until);
    }
}

// Guards against a limit of zero that nothing could ever lift, since no call's response arrives.
BOOST_FIXTURE_TEST_CASE(LimitOfZeroIsHeldAndCanBeLifted, OneNode)
{
    stateRateLimit(0, "0");
    spreadStatement();
    const auto begin = now();
    BOOST_TEST(countOf(call(40, 80, "none"), CallOutcome::Answered) == 0);
    BOOST_TEST(arrivals(0, begin, now()) == 0U);
    stateRateLimit(0, "");
    const auto until = Clock::now() + StartLimit;
    while (!allAnswered(call(40, 40, fmt::format("lifted-{}", nextLoad++)))) {
        BOOST_REQUIRE(Clock::now() < until);
    }
}

// Guards against a malformed statement that crashes the node or keeps calls away from the target.
BOOST_FIXTURE_TEST_CASE(IgnoresWhatIsNoRate, OneNode)
{
    for (const auto *value : {"-3", "many", "nan", "1e9", "0x0", "99999999999"}) {
        stateRateLimit(0, value);
        BOOST_TEST(countOf(call(40, 20, fmt::format("invalid-{}", nextLoad++)), CallOutcome::Answered) > 10, value);
    }
    BOOST_TEST(fleet.nodeProcess(0).running());
}
