#include "daemon/configfollower.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace Galenahill;

namespace {

// Gives the scripted answers one after the other, then keeps each call waiting.
class ScriptedStore : public DocumentStore
{
public:
    explicit ScriptedStore(asio::io_context &context)
        : m_context(context)
    {
    }

    asio::awaitable<Result<DocumentSet>> list(std::string kind) override
    {
        calledWith.push_back("list " + kind);
        co_return co_await next();
    }

    asio::awaitable<Result<DocumentSet>> watch(std::string kind, ObjectVersion after, Milliseconds) override
    {
        calledWith.push_back("watch " + kind + " " + std::to_string(after.value()));
        co_return co_await next();
    }

    asio::awaitable<Result<void>> put(std::string, std::string, std::string) override
    {
        co_return Result<void>();
    }

    asio::awaitable<Result<void>> remove(std::string, std::string) override
    {
        co_return Result<void>();
    }

    std::uint64_t calls() const override
    {
        return calledWith.size();
    }

    std::deque<Result<DocumentSet>> answers;
    std::vector<std::string> calledWith;

private:
    asio::awaitable<Result<DocumentSet>> next()
    {
        if (answers.empty()) {
            asio::steady_timer timer(m_context, std::chrono::hours(1));
            ErrorCode ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        auto answer = std::move(answers.front());
        answers.pop_front();
        co_return answer;
    }

    asio::io_context &m_context;
};

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

BOOST_AUTO_TEST_SUITE_END()
