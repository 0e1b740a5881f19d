#include "adapters/codec/jsonparts.h"
#include "common/boundedjson.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Galenahill;

namespace {

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

}

BOOST_AUTO_TEST_CASE(FindsValuesVerbatim)
{
    const auto members = splitObject(R"( {"items":[{"name":"a", "content": {"x" : 1.50, "y":[{}]} },{"content":{},"name":"b"}] , "more":false} )");
    BOOST_REQUIRE(members.size() == 2U);
    BOOST_TEST(members[1].name == "more");
    BOOST_TEST(members[1].value == "false");
    const auto items = splitArray(memberAt(members, "items"));
    BOOST_REQUIRE(items.size() == 2U);
    BOOST_TEST(memberAt(splitObject(items[0]), "content") == R"({"x" : 1.50, "y":[{}]})");
    BOOST_TEST(memberAt(splitObject(items[1]), "content") == "{}");
    BOOST_TEST(!findMember(splitObject(items[1]), "status").has_value());
    BOOST_CHECK_THROW((void)memberAt(splitObject(items[1]), "status"), std::exception);
    BOOST_TEST(splitObject("{}").empty());
    BOOST_TEST(splitArray("[ ]").empty());
}

// Guards against names and brackets inside values or strings that end a value early or add one.
BOOST_AUTO_TEST_CASE(IgnoresNamesAndBracketsInsideValues)
{
    const auto members = splitObject(R"({"content":{"content":{"b":"}\"{"},"list":[{"content":{}}]},"other":{"content":null},"last":["content",{"c":1}]})");
    BOOST_REQUIRE(members.size() == 3U);
    BOOST_TEST(memberAt(members, "content") == R"({"content":{"b":"}\"{"},"list":[{"content":{}}]})");
    BOOST_TEST(memberAt(members, "other") == R"({"content":null})");
    BOOST_TEST(memberAt(members, "last") == R"(["content",{"c":1}])");
    BOOST_TEST(memberAt(splitObject(R"({"\u0063ontent":{"a":"é"}})"), "content") == R"({"a":"é"})");
    BOOST_TEST(memberAt(splitObject(R"({"a":1,"a":"\\","b":2})"), "a") == R"("\\")");
}

// Guards against one value that can't be read and hides the others.
BOOST_AUTO_TEST_CASE(KeepsValuesBesideOneThatCannotBeRead)
{
    for (const auto &odd : {std::string("1e999"), std::string("-1e999"), nested(100000), std::string("\"\xff\""), std::string("1.2.3"), std::string("{]")}) {
        const auto text = R"({"first":1,"odd":)" + odd + R"(,"last":[2]})";
        const auto members = splitObject(text);
        BOOST_REQUIRE(members.size() == 3U);
        BOOST_TEST(memberAt(members, "odd") == odd);
        BOOST_TEST(memberAt(members, "last") == "[2]");
    }
}

BOOST_AUTO_TEST_CASE(RejectsBrokenStructure)
{
    for (const std::string text : {"",
             "{",
             "}",
             "[]",
             R"({"content":{)",
             R"({"content":{}}})",
             R"({"content")",
             R"({"content":)",
             R"({"content":})",
             R"({"content":1,})",
             R"({"content":1 2})",
             R"({"content" 1})",
             R"({content:1})",
             R"({"content":"})",
             R"({"content":"\)",
             R"({"\uZZZZ":1})",
             "{\"\xff\":1}",
             R"({"a":1}x)"}) {
        BOOST_CHECK_THROW((void)splitObject(text), std::exception);
    }
    for (const std::string text : {"", "[", "]", "{}", "[1,]", "[,1]", "[1 2]", "[1]]", "[\"a]"}) {
        BOOST_CHECK_THROW((void)splitArray(text), std::exception);
    }
}

// Guards against values whose copies, comparisons or texts exhaust the stack.
BOOST_AUTO_TEST_CASE(ParsesUpToABoundedDepth)
{
    BOOST_TEST(parseJson(nested(MaxJsonDepth)).is_array());
    BOOST_TEST(parseJson(R"(["[[","]",{"a":"\"["}])").size() == 3U);
    for (const auto depth : {MaxJsonDepth + 1, std::size_t(100000)}) {
        BOOST_CHECK_THROW((void)parseJson(nested(depth)), std::exception);
        BOOST_TEST(parseJsonOrNull(nested(depth)).is_null());
    }
    for (const std::string text : {"", "{", R"({"a":{)", R"({"a":{}}})", "{\"a\":{\"b\":\"\xff\"}}", "{\"a\":{\"b\":\xff}}", R"({"a":{"b":1,}})", "1e999"}) {
        BOOST_CHECK_THROW((void)parseJson(text), std::exception);
        BOOST_TEST(parseJsonOrNull(text).is_null());
    }
}
