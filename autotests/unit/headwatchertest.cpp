#include "daemon/headwatcher.h"
#include "fakeobjectstore.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace Galenahill;

namespace {

const std::string ServiceText = "[service ventas]\ndata-centres = rosario-a\nslots = 6\nconnections = 120\n";

struct Fixture
{
    FakeObjectStore store;
    std::shared_ptr<NodeState> state = std::make_shared<NodeState>();
    std::vector<Revision> found;
    std::optional<Revision> reportedHead;
    std::size_t failures = 0;
    BudgetedStore budgeted{{.store = store, .budget = {}, .stopping = state->stopping}};
    ConfigRepository repository{{.store = budgeted,
        .inForce = [this] { return state->revisions.current(); },
        .highestKnownRevision = [] { return Revision(); },
        .now = [] { return std::int64_t(1); }}};
    HeadWatcher watcher{{.store = budgeted,
        .repository = repository,
        .state = state,
        .log = [](LogLevel, std::string_view, const std::vector<LogField> &) {},
        .revisionFound =
            [this](auto revision) {
                found.push_back(revision->revision());
                state->revisions.offer(revision);
            },
        .storeAnswered = [this](Revision revision) { reportedHead = revision; },
        .storeFailed = [this] { ++failures; }}};

    void apply()
    {
        BOOST_REQUIRE(repository.apply({.id = ApplyId("1"), .file = FileName("s.ini"), .text = ServiceText, .operatorName = "ana", .basedOn = {}}).has_value());
    }
};

}

// The watch stalls: it neither returns nor fails. The node would serve the old revision
// until the watch's time limit, longer than guaranteed to operators; the check beside
// the watch finds the new revision.
BOOST_FIXTURE_TEST_CASE(CheckFindsARevisionThatAStalledWatchMisses, Fixture)
{
    apply();
    watcher.check();
    BOOST_TEST(found.empty());
    state->watchesStore = true;
    watcher.check();
    BOOST_REQUIRE(found.size() == 1U);
    BOOST_TEST(found.front().value() == 1U);
    const auto calls = store.calls;
    watcher.check();
    BOOST_TEST(store.calls == calls + 1);
    BOOST_TEST(found.size() == 1U);
}

// The store is restored from a backup, and no apply follows. If the whole fleet then
// restarted, it would serve the backup and lose the accepted change, so a watcher writes
// the revision in force back.
BOOST_FIXTURE_TEST_CASE(RestoredStoreGetsTheRevisionInForceBack, Fixture)
{
    state->watchesStore = true;
    const auto accept = [this](const std::string &id, const std::string &text) {
        const auto outcome = repository.apply({.id = ApplyId(id), .file = FileName("s.ini"), .text = text, .operatorName = "ana", .basedOn = {}});
        BOOST_REQUIRE(outcome.has_value());
        state->revisions.offer(outcome->accepted);
    };
    accept("1", ServiceText);
    const auto backup = store.objects;
    accept("2", ServiceText + "; later\n");
    for (const auto &restored : {backup, decltype(backup)()}) {
        store.objects = restored;
        watcher.check();
        const auto head = repository.readHead();
        BOOST_REQUIRE(head.has_value());
        BOOST_TEST(head->manifest.revision.value() == 2U);
        BOOST_TEST(repository.readBundle(head->manifest, nullptr).has_value());
    }
}

// An apply was accepted on the restored store before a watcher repaired it. Overwriting
// it with the revision in force would drop that change.
BOOST_FIXTURE_TEST_CASE(RestoredStoreWithNewChangesIsLeftToTheNextApply, Fixture)
{
    state->watchesStore = true;
    apply();
    watcher.check();
    const auto backup = store.objects;
    for (const std::string id : {"2", "3"}) {
        std::string text = ServiceText;
        text.append("; ").append(id).append("\n");
        const auto outcome = repository.apply({.id = ApplyId(id), .file = FileName("s.ini"), .text = text, .operatorName = "ana", .basedOn = {}});
        BOOST_REQUIRE_MESSAGE(outcome.has_value(), outcome.error().message);
        state->revisions.offer(outcome->accepted);
    }
    store.objects = backup;
    ConfigRepository elsewhere(
        {.store = store, .inForce = [] { return nullptr; }, .highestKnownRevision = [] { return Revision(); }, .now = [] { return std::int64_t(1); }});
    const auto other = elsewhere.apply({.id = ApplyId("other"),
        .file = FileName("t.ini"),
        .text = "[service taller]\ndata-centres = rosario-a\nslots = 6\n",
        .operatorName = "ben",
        .basedOn = {}});
    BOOST_REQUIRE(other.has_value());
    watcher.check();
    BOOST_TEST(elsewhere.readHead()->manifest.change(ApplyId("other")).has_value());
}

// The store is unavailable when the node starts, and returns later. The node must report
// the failure, so that it can become ready by what several members advertise, and retry.
BOOST_FIXTURE_TEST_CASE(StartRetriesWhileTheStoreIsUnavailable, Fixture)
{
    apply();
    store.before = [this](const std::string &, const std::string &) -> std::optional<Error> {
        return failures < 2 ? std::optional(Error{ErrorKind::Unavailable, "out"}) : std::nullopt;
    };
    std::thread running([this] { watcher.run(); });
    const auto until = Clock::now() + Milliseconds(20000);
    while (Clock::now() < until && !state->revisions.current()) {
        std::this_thread::sleep_for(Milliseconds(20));
    }
    state->stopping = true;
    running.join();
    BOOST_TEST(failures == 2U);
    BOOST_TEST(reportedHead.value_or(Revision()).value() == 1U);
    BOOST_TEST(state->revisions.revision().value() == 1U);
}
