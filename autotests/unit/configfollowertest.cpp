#include "daemon/configfollower.h"
#include "scriptedstore.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

DocumentSet set(std::uint64_t version, const std::string &content)
{
    return {{{"main", content, false}}, ObjectVersion(version)};
}

// A document is a number: its revision.
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
    ConfigFollower::Options options()
    {
        return {.context = context,
            .store = store,
            .kind = "config",
            .name = "main",
            .decode = decodeNumber,
            .log = [this](LogLevel, std::string_view event, const std::vector<LogField> &) { events.emplace_back(event); },
            .found = [this](const std::shared_ptr<const ConfigRevision> &revision) { found.push_back(revision->revision().value()); },
            .storeAnswered = [](Revision) {},
            .storeFailed = [this] { ++failures; },
            .watches = [this] { return watches; },
            .stopping = stopping};
    }

    // Runs until so many calls were made to the store, however slow the machine.
    void runTo(std::size_t calls)
    {
        ConfigFollower follower(options());
        follower.start();
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

// The store drops its history while the watch waits. What changed meanwhile is
// in no event that it still gives; the kind is read whole again.
BOOST_AUTO_TEST_CASE(ReadsTheWholeAfterALostHistory)
{
    store.answers = {set(10, "1"), failure(ErrorKind::NotFound, "gone"), set(20, "5")};
    runTo(4);
    const std::vector<std::string> expected = {"list config", "watch config 10", "list config", "watch config 20"};
    BOOST_TEST(store.calledWith == expected, boost::test_tools::per_element());
    BOOST_TEST((found == std::vector<std::uint64_t>{1, 5}));
    BOOST_TEST(failures == 1);
}

// Several changes come in one answer of the watch: only the last counts.
BOOST_AUTO_TEST_CASE(TakesTheLastOfSeveralChanges)
{
    DocumentSet changes{{{"main", "2", false}, {"other", "9", false}, {"main", "3", false}}, ObjectVersion(12)};
    store.answers = {set(10, "1"), changes};
    runTo(3);
    BOOST_TEST((found == std::vector<std::uint64_t>{1, 3}));
    BOOST_TEST(store.calledWith.back() == "watch config 12");
}

// A document doesn't decode. Nothing of it is taken, the log says so, and the
// next good one is.
BOOST_AUTO_TEST_CASE(KeepsTheLastGoodOne)
{
    store.answers = {set(10, "1"), set(11, "half"), set(12, "4")};
    runTo(4);
    BOOST_TEST((found == std::vector<std::uint64_t>{1, 4}));
    BOOST_TEST(std::count(events.begin(), events.end(), "stored-revision-invalid") == 1);
}

// A node that doesn't watch reads the document once, at its start, and then
// leaves the store alone: with each node watching, every change would come over
// each node's own link in full.
BOOST_AUTO_TEST_CASE(ReadsOnceIfItDoesNotWatch)
{
    watches = false;
    store.answers = {set(10, "1"), set(11, "2")};
    ConfigFollower follower(options());
    follower.start();
    context.run_for(Milliseconds(600));
    BOOST_TEST(store.calledWith.size() == 1U);
    BOOST_TEST((found == std::vector<std::uint64_t>{1}));
    stopping = true;
}

// A node that has just read the document comes to watch, as each that starts
// before it knows the others. It goes on from what it read: read once more by all
// nodes that start together, the document would come over each link twice.
BOOST_AUTO_TEST_CASE(GoesOnFromAFreshRead)
{
    watches = false;
    store.answers = {set(10, "1"), set(11, "2")};
    ConfigFollower follower(options());
    follower.start();
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
