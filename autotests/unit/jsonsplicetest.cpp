#include "adapters/codec/jsonsplice.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

SplicedJson splice(const std::string &text)
{
    auto spliced = spliceOut(text, "content");
    BOOST_REQUIRE_MESSAGE(spliced.has_value(), text);
    return std::move(*spliced);
}

}

BOOST_AUTO_TEST_CASE(ExtractsObjectsVerbatim)
{
    const auto spliced = splice(R"({"items":[{"name":"a", "content": {"x" : 1.50, "y":[{}]} },{"content":{},"name":"b"}],"more":false})");
    BOOST_TEST(spliced.rest == R"({"items":[{"name":"a", "content": {"part":0} },{"content":{"part":1},"name":"b"}],"more":false})");
    BOOST_REQUIRE(spliced.parts.size() == 2U);
    BOOST_TEST(spliced.parts[0] == R"({"x" : 1.50, "y":[{}]})");
    BOOST_TEST(spliced.parts[1] == "{}");
}

// The text may contain the key inside a part or in a string, brackets in strings, or the key with a
// value that isn't an object. None of these may end a part early or add one.
BOOST_AUTO_TEST_CASE(IgnoresKeysAndBracketsInsideParts)
{
    const auto nested = splice(R"({"content":{"content":{"b":"}\"{"},"list":[{"content":{}}]},"other":{"content":null},"last":["content",{"c":1}]})");
    BOOST_REQUIRE(nested.parts.size() == 1U);
    BOOST_TEST(nested.parts[0] == R"({"content":{"b":"}\"{"},"list":[{"content":{}}]})");
    BOOST_TEST(nested.rest == R"({"content":{"part":0},"other":{"content":null},"last":["content",{"c":1}]})");
    const auto escaped = splice(R"({"\u0063ontent":{"a":"é"}})");
    BOOST_REQUIRE(escaped.parts.size() == 1U);
    BOOST_TEST(escaped.parts[0] == R"({"a":"é"})");
}

BOOST_AUTO_TEST_CASE(RejectsInvalidJson)
{
    for (const std::string text : {"", "{", R"({"content":{)", R"({"content":{}}})", "{\"content\":{\"a\":\xff}}", R"({"content":{"a":1,}})"}) {
        BOOST_TEST(!spliceOut(text, "content").has_value(), text);
    }
}
