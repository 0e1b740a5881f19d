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

struct Fixture
{
    DocumentWatcher::Options options()
    {
        return {.context = context,
            .store = store,
            .kind = Kind,
            .log = [this](LogLevel, std::string_view event, const std::vector<LogField> &) { events.emplace_back(event); },
            .firstList = Freshness::Latest,
            .shouldWatch = [] { return true; },
            .received = [this](const DocumentSet &documents, bool) { return received(documents); },
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
    ScriptedStore store{context};
    bool stopping = false;
    std::vector<std::string> names;
    std::vector<std::string> events;
};

}

// Guards against a document whose handling throws and ends the watch of its kind.
BOOST_FIXTURE_TEST_CASE(ExceptionDoesNotEndTheWatch, Fixture)
{
    store.responses = {set(10, "first"), set(11, "bad"), set(12, "second")};
    DocumentWatcher watcher(options());
    runTo(watcher, 2);
    const std::vector<std::string> expected = {"first", "second"};
    BOOST_TEST(names == expected, boost::test_tools::per_element());
    BOOST_TEST(std::count(events.begin(), events.end(), "documents-not-processed") == 1);
}
