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

BOOST_AUTO_TEST_CASE(HoldsFormerTextsAsBases)
{
    constexpr int MaxHeld = 4;
    DeltaBases bases(MaxHeld);
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

// Configurations are lists of like entries: what is held of them is a small
// part of their size.
BOOST_AUTO_TEST_CASE(HoldsAPartOfTheirSize)
{
    DeltaBases bases(1);
    bases.add(digest(1), text(1));
    BOOST_TEST(bases.bytes() < text(1).size() / 4);
}
