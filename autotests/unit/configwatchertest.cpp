#include "daemon/configwatcher.h"
#include "scriptedstore.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

DocumentSet set(std::uint64_t version, const std::string &content)
{
    return {{{"main", content, false}}, ObjectVersion(version)};
}

// Decodes a document that consists of its revision number.
Result<DecodedConfig> decodeNumber(const std::string &content)
{
    if (content.empty() || content.find_first_not_of("0123456789") != std::string::npos) {
        return failure(ErrorKind::Corrupt, "not a number");
    }
    DecodedConfig config;
    config.revision = Revision(std::stoul(content));
    return config;
}

struct Fixture
{
    ConfigWatcher::Options options()
    {
        return {.context = context,
            .store = store,
            .kind = "config",
            .name = "main",
            .decode = decodeNumber,
            .log = [this](LogLevel, std::string_view event, const std::vector<LogField> &) { events.emplace_back(event); },
            .revisionFound = [this](const std::shared_ptr<const ConfigRevision> &revision, RevisionSource) { found.push_back(revision->revision().value()); },
            .storeAnswered = [](Revision) {},
            .storeFailed = [this] { ++failures; },
            .shouldWatch = [this] { return watches; },
            .stopping = stopping};
    }

    // Runs until the store has got that many calls, however slow the machine.
    void runTo(std::size_t calls)
    {
        ConfigWatcher watcher(options());
        watcher.start();
        const auto limit = Clock::now() + std::chrono::seconds(30);
        while (store.calledWith.size() < calls && Clock::now() < limit) {
            context.run_for(Milliseconds(10));
        }
        stopping = true;
    }

    asio::io_context context{1};
    ScriptedStore store{context};
    bool watches = true;
    bool stopping = false;
    int failures = 0;
    std::vector<std::uint64_t> found;
    std::vector<std::string> events;
};

}

BOOST_FIXTURE_TEST_SUITE(following, Fixture)

// The store drops its history while a watch waits, so that no event contains the changes
// made meanwhile. The kind has to be listed again.
BOOST_AUTO_TEST_CASE(ListsAgainAfterALostHistory)
{
    store.responses = {set(10, "1"), failure(ErrorKind::NotFound, "gone"), set(20, "5")};
    runTo(4);
    const std::vector<std::string> expected = {"list config", "watch config 10", "list config", "watch config 20"};
    BOOST_TEST(store.calledWith == expected, boost::test_tools::per_element());
    BOOST_TEST((found == std::vector<std::uint64_t>{1, 5}));
    BOOST_TEST(failures == 1);
}

// One response of the watch contains several changes, of which only the last counts.
BOOST_AUTO_TEST_CASE(AdoptsTheLastOfSeveralChanges)
{
    DocumentSet changes{{{"main", "2", false}, {"other", "9", false}, {"main", "3", false}}, ObjectVersion(12)};
    store.responses = {set(10, "1"), changes};
    runTo(3);
    BOOST_TEST((found == std::vector<std::uint64_t>{1, 3}));
    BOOST_TEST(store.calledWith.back() == "watch config 12");
}

// A document cannot be decoded. It is rejected as a whole and logged, and the next valid
// document is adopted.
BOOST_AUTO_TEST_CASE(RejectsAnInvalidDocument)
{
    store.responses = {set(10, "1"), set(11, "half"), set(12, "4")};
    runTo(4);
    BOOST_TEST((found == std::vector<std::uint64_t>{1, 4}));
    BOOST_TEST(std::count(events.begin(), events.end(), "stored-revision-invalid") == 1);
}

// A node that is not a watcher reads the document once, at its start. If every node
// watched, each change would be sent in full over every node's link.
BOOST_AUTO_TEST_CASE(ReadsOnceIfItDoesNotWatch)
{
    watches = false;
    store.responses = {set(10, "1"), set(11, "2")};
    ConfigWatcher watcher(options());
    watcher.start();
    context.run_for(Milliseconds(600));
    BOOST_TEST(store.calledWith.size() == 1U);
    BOOST_TEST((found == std::vector<std::uint64_t>{1}));
    stopping = true;
}

// A node that has just read the document becomes a watcher, as every node does that
// starts before it knows its peers. It resumes from its read: otherwise the document
// would be sent twice over the link of each node of a fleet that starts together.
BOOST_AUTO_TEST_CASE(ResumesFromARecentRead)
{
    watches = false;
    store.responses = {set(10, "1"), set(11, "2")};
    ConfigWatcher watcher(options());
    watcher.start();
    context.run_for(Milliseconds(50));
    watches = true;
    const auto limit = Clock::now() + std::chrono::seconds(30);
    while (store.calledWith.size() < 2 && Clock::now() < limit) {
        context.run_for(Milliseconds(10));
    }
    stopping = true;
    BOOST_REQUIRE(store.calledWith.size() >= 2U);
    BOOST_TEST(store.calledWith[1] == "watch config 10");
}

BOOST_AUTO_TEST_SUITE_END()
