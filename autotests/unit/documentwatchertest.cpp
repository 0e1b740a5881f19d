#include "daemon/documentwatcher.h"
#include "scriptedstore.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <stdexcept>

using namespace Galenahill;

namespace {

constexpr const char *Kind = "rollouts";

DocumentSet set(std::uint64_t version, const std::string &name)
{
    StoredDocument document;
    document.name = name;
    document.version = ObjectVersion(version);
    return {{document}, ObjectVersion(version)};
}

// A store whose watches return nothing until they are cancelled.
class StalledStore : public ScriptedStore
{
public:
    using ScriptedStore::ScriptedStore;

    asio::awaitable<Result<DocumentSet>> watch(std::string kind, ObjectVersion after, Milliseconds, Cancellation *cancellation) override
    {
        calledWith.push_back("watch " + kind + " " + std::to_string(after.value()));
        while (!cancellation->cancelled()) {
            asio::steady_timer timer(co_await asio::this_coro::executor, Milliseconds(1));
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_return failure(ErrorKind::OutcomeUnknown, "cancelled");
    }
};

struct Fixture
{
    DocumentWatcher::Options options()
    {
        return {.context = context,
            .store = *store,
            .kind = Kind,
            .log = [this](LogLevel, std::string_view event, const std::vector<LogField> &) { events.emplace_back(event); },
            .firstList = Freshness::Latest,
            .shouldWatch = [] { return true; },
            .received = [this](const DocumentSet &documents, bool) { return received(documents); },
            .checkInterval = checkInterval,
            .stopping = stopping};
    }

    bool received(const DocumentSet &documents)
    {
        for (const auto &document : documents.documents) {
            if (document.name == "bad") {
                throw std::runtime_error("bad name");
            }
            names.push_back(document.name);
        }
        return false;
    }

    // Runs until that many names were received, however slow the machine.
    void runTo(DocumentWatcher &watcher, std::size_t count)
    {
        watcher.start();
        const auto limit = Clock::now() + std::chrono::seconds(30);
        while (names.size() < count && Clock::now() < limit) {
            context.run_for(Milliseconds(10));
        }
        stopping = true;
    }

    asio::io_context context{1};
    std::unique_ptr<ScriptedStore> store = std::make_unique<ScriptedStore>(context);
    std::function<Milliseconds()> checkInterval;
    bool stopping = false;
    std::vector<std::string> names;
    std::vector<std::string> events;
};

}

// Guards against a document whose handling throws and ends the watch of its kind.
BOOST_FIXTURE_TEST_CASE(ExceptionDoesNotEndTheWatch, Fixture)
{
    store->responses = {set(10, "first"), set(11, "bad"), set(12, "second")};
    DocumentWatcher watcher(options());
    runTo(watcher, 2);
    const std::vector<std::string> expected = {"first", "second"};
    BOOST_TEST(names == expected, boost::test_tools::per_element());
    BOOST_TEST(std::count(events.begin(), events.end(), "documents-not-processed") == 1);
}

// Guards against a watch that says nothing while the documents change.
BOOST_FIXTURE_TEST_CASE(ListFindsWhatAStalledWatchMissed, Fixture)
{
    store = std::make_unique<StalledStore>(context);
    store->responses = {set(10, "first"), set(12, "second"), set(12, "second")};
    checkInterval = [] { return Milliseconds(20); };
    DocumentWatcher watcher(options());
    runTo(watcher, 3);
    const std::vector<std::string> expected = {"list rollouts", "watch rollouts 10", "list rollouts", "watch rollouts 12", "list rollouts"};
    BOOST_TEST(store->calledWith == expected, boost::test_tools::per_element());
    BOOST_TEST(std::count(events.begin(), events.end(), "watch-stalled") == 1);
}
