#include "core/config/keyredaction.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

// Operators' terminals and logs must not contain keys, and the rest of the file must stay as it is so that a
// diff with the file shows only what changed.
BOOST_AUTO_TEST_CASE(ReplacesEachKeyAndKeepsTheRest)
{
    const std::string before = "; a = b\n[customer alondra]\n api-keys =  key-one,key-two , \nburst = 4\n\n[service ventas]\nslots = 6";
    const auto expected = "; a = b\n[customer alondra]\n api-keys =  " + keyPlaceholder("key-one") + "," + keyPlaceholder("key-two")
        + " , \nburst = 4\n\n[service ventas]\nslots = 6";
    BOOST_TEST(redactKeys(before) == expected);
    BOOST_TEST(redactKeys("") == "");
    BOOST_TEST(redactKeys("api-keys =\n") == "api-keys =\n");
}

BOOST_AUTO_TEST_CASE(ReplacesKeysInComments)
{
    BOOST_TEST(redactKeys("; api-keys = key-one\n#API-Keys=key-one\n")
        == "; api-keys = " + keyPlaceholder("key-one") + "\n#API-Keys=" + keyPlaceholder("key-one") + "\n");
}

// The text stands for the whole item, also if that is not a valid key, as in a file that is yet to be checked.
BOOST_AUTO_TEST_CASE(ReplacesInvalidKeys)
{
    BOOST_TEST(redactKeys("api-keys = key=one two\r\n") == "api-keys = " + keyPlaceholder("key=one two") + "\r\n");
    BOOST_TEST(redactKeys("api-keys==key-one") == "api-keys=" + keyPlaceholder("=key-one"));
}

// A file made from the output of show is compared with the files in force.
BOOST_AUTO_TEST_CASE(KeepsPlaceholders)
{
    const auto once = redactKeys("api-keys = key-one, key-two\n");
    BOOST_TEST(redactKeys(once) == once);
}

BOOST_AUTO_TEST_CASE(ShowsAChangedKeyAsAnotherPlaceholder)
{
    BOOST_TEST(redactKeys("api-keys = key-one") != redactKeys("api-keys = key-two"));
}

BOOST_AUTO_TEST_CASE(RecognisesPlaceholders)
{
    BOOST_TEST(isKeyPlaceholder(keyPlaceholder("key-one")));
    BOOST_TEST(isKeyPlaceholder("<key 0123abcd>"));
    BOOST_TEST(!isKeyPlaceholder("<key 0123abcg>"));
    BOOST_TEST(!isKeyPlaceholder("<key 0123abcd"));
    BOOST_TEST(!isKeyPlaceholder("key-one"));
}
