#include "adapters/codec/deltabases.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

ContentHash digest(int number)
{
    return ContentHash("digest-" + std::to_string(number));
}

std::string text(int number)
{
    std::string lines;
    for (int line = 0; line < 1000; ++line) {
        lines += "path = /orders/" + std::to_string(line) + "\n";
    }
    return lines + "revision " + std::to_string(number);
}

}

BOOST_AUTO_TEST_CASE(StoresTheMostRecentTexts)
{
    constexpr int MaxTexts = 4;
    DeltaBases bases(MaxTexts);
    bases.add(digest(1), text(1));
    bases.add(digest(2), text(2));
    BOOST_TEST(bases.find(digest(1)).value_or("") == text(1));
    for (int number = 3; number < 8; ++number) {
        bases.add(digest(number), text(number));
    }
    BOOST_TEST(!bases.find(digest(1)).has_value());
    for (int number = 4; number < 8; ++number) {
        BOOST_TEST(bases.find(digest(number)).value_or("") == text(number));
    }
    BOOST_TEST(!bases.find(ContentHash("none")).has_value());
}

// Configurations are lists of similar entries, so their compressed size is a small fraction.
BOOST_AUTO_TEST_CASE(StoresTextsCompressed)
{
    DeltaBases bases(1);
    bases.add(digest(1), text(1));
    BOOST_TEST(bases.bytes() < text(1).size() / 4);
}
