#include "adapters/platform/documentreader.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace Galenahill;

namespace {

const DocumentFieldNames Names{.metadata = "metadata",
    .name = "name",
    .version = "version",
    .createdVersion = "created",
    .content = "content",
    .status = "status",
    .items = "items",
    .hasMore = "more",
    .changes = "changes",
    .changed = "object",
    .removed = "removed",
    .storeVersion = "store-version"};

const std::string Sound = R"({"metadata":{"name":"sound","version":7,"created":3},"content":{"a":1},"status":{"b":2}})";

std::string nested()
{
    constexpr std::size_t Depth = 100000;
    return std::string(Depth, '[') + std::string(Depth, ']');
}

// Objects that another program left, and whether their documents can be read all the same.
struct Odd
{
    std::string text;
    bool readable = false;
};

const std::vector<Odd> OddObjects = {
    {.text = R"({"metadata":{"name":"odd","version":1},"content":{},"status":)" + nested() + "}", .readable = true},
    {.text = R"({"metadata":{"name":"odd","version":1},"content":{},"status":1e999})", .readable = true},
    {.text = R"({"metadata":{"name":"odd","version":1},"content":{"a":1e999}})", .readable = true},
    {.text = R"({"metadata":{"name":"odd","version":1,"more":1e999},"content":{}})", .readable = true},
    {.text = R"({"metadata":{"name":"odd","version":1,"more":)" + nested() + R"(},"content":{}})", .readable = true},
    {.text = R"({"metadata":{"name":"odd","version":1},"content":{},"more":)" + nested() + "}", .readable = true},
    {.text = R"({"metadata":{"name":"odd","version":1e999},"content":{}})"},
    {.text = R"({"metadata":{"name":"odd","version":-1},"content":{}})"},
    {.text = R"({"metadata":{"name":"odd","version":1.5},"content":{}})"},
    {.text = R"({"metadata":{"name":7,"version":1},"content":{}})"},
    {.text = R"({"metadata":{"version":1},"content":{}})"},
    {.text = R"({"metadata":)" + nested() + R"(,"content":{}})"},
    {.text = R"({"metadata":{"name":"odd","version":1},"content":7})"},
    {.text = R"({"metadata":{"name":"odd","version":1}})"},
    {.text = "{}"},
    {.text = "null"},
    {.text = "1e999"},
    {.text = nested()},
};

void checkSound(const DocumentSet &set, bool oddIsReadable)
{
    BOOST_REQUIRE(set.documents.size() == (oddIsReadable ? 2U : 1U));
    BOOST_TEST(set.unreadable.size() == (oddIsReadable ? 0U : 1U));
    const auto &sound = set.documents.back();
    BOOST_TEST(sound.name == "sound");
    BOOST_TEST(sound.version.value() == 7U);
    BOOST_TEST(sound.created.value() == 3U);
    BOOST_TEST(sound.content == R"({"a":1})");
    BOOST_TEST(sound.status == R"({"b":2})");
}

}

// Guards against one object that can't be read and hides the others, or ends the process.
BOOST_AUTO_TEST_CASE(ReadsDocumentsBesideOddOnes)
{
    const DocumentReader reader(Names);
    for (const auto &odd : OddObjects) {
        BOOST_TEST_CONTEXT(odd.text.substr(0, 100))
        {
            DocumentSet page;
            const auto next = reader.addPage(page, fmt::format(R"({{"items":[{},{}],"more":false,"store-version":9}})", odd.text, Sound));
            BOOST_REQUIRE(next.has_value());
            BOOST_TEST(next->empty());
            BOOST_TEST(page.version.value() == 9U);
            checkSound(page, odd.readable);
            const auto changes = reader.changes(
                fmt::format(R"({{"changes":[{{"object":{},"removed":false}},{{"object":{},"removed":false}}],"store-version":9}})", odd.text, Sound));
            BOOST_REQUIRE(changes.has_value());
            BOOST_TEST(changes->version.value() == 9U);
            checkSound(*changes, odd.readable);
        }
    }
}

// Guards against a list that ends early, since the last object of a page has no readable name.
BOOST_AUTO_TEST_CASE(NextPageFollowsTheLastReadableName)
{
    const DocumentReader reader(Names);
    DocumentSet set;
    const auto next = reader.addPage(set, fmt::format(R"({{"items":[{},{{}}],"more":true,"store-version":9}})", Sound));
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(*next == "sound");
}

BOOST_AUTO_TEST_CASE(ReadsRemovedAndSingleDocuments)
{
    const DocumentReader reader(Names);
    const auto changes = reader.changes(R"({"changes":[{"object":{"metadata":{"name":"gone","version":8},"content":null},"removed":true}],"store-version":9})");
    BOOST_REQUIRE(changes.has_value());
    BOOST_REQUIRE(changes->documents.size() == 1U);
    BOOST_TEST(changes->documents.front().removed);
    BOOST_TEST(changes->documents.front().name == "gone");
    const auto document = reader.document(Sound);
    BOOST_REQUIRE(document.has_value());
    BOOST_TEST(document->content == R"({"a":1})");
    BOOST_TEST(!reader.document(R"({"metadata":{"name":"a"}})").has_value());
}

BOOST_AUTO_TEST_CASE(RejectsMalformedResponses)
{
    const DocumentReader reader(Names);
    for (const std::string text : {"",
             "{",
             "[]",
             "{}",
             R"({"items":{},"more":false,"store-version":9})",
             R"({"items":[],"more":false})",
             R"({"items":[],"more":1,"store-version":9})",
             R"({"items":[],"more":false,"store-version":-9})",
             R"({"items":[{]},"more":false,"store-version":9})"}) {
        DocumentSet set;
        BOOST_TEST(!reader.addPage(set, text).has_value(), text);
        BOOST_TEST(!reader.changes(text).has_value(), text);
    }
}
