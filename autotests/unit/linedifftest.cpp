#include "cli/linediff.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

BOOST_AUTO_TEST_CASE(EqualTextsHaveNoDifference)
{
    BOOST_TEST(lineDiff("", "").empty());
    BOOST_TEST(lineDiff("a\nb\n", "a\nb\n").empty());
}

BOOST_AUTO_TEST_CASE(ShowsThreeLinesOfContext)
{
    BOOST_TEST(lineDiff("1\n2\n3\n4\n5\n6\n7\n8\n", "1\n2\n3\n4\nfive\n6\n7\n8\n") == " 2\n 3\n 4\n-5\n+five\n 6\n 7\n 8\n");
    BOOST_TEST(lineDiff("a\nb\n", "a\nx\nb\n") == " a\n+x\n b\n");
    BOOST_TEST(lineDiff("", "a\n") == "+a\n");
    BOOST_TEST(lineDiff("a\n", "") == "-a\n");
}

BOOST_AUTO_TEST_CASE(LeavesOutDistantLines)
{
    std::string left;
    for (int i = 0; i < 30; ++i) {
        left += std::to_string(i) + "\n";
    }
    const auto diff = lineDiff("x\n" + left + "y\n", "X\n" + left + "Y\n");
    BOOST_TEST(diff == "-x\n+X\n 0\n 1\n 2\n...\n 27\n 28\n 29\n-y\n+Y\n");
}

BOOST_AUTO_TEST_CASE(ComparesRepeatedLines)
{
    BOOST_TEST(lineDiff("a\na\nb\n", "a\nb\na\n") == " a\n-a\n b\n+a\n");
    BOOST_TEST(lineDiff("a", "a\n") == "the texts differ only in the newline at the end\n");
}

// The comparison table of two files of the largest size with nothing in common would take gigabytes,
// so all lines count as replaced.
BOOST_AUTO_TEST_CASE(BoundsItsMemory)
{
    std::string left;
    std::string right;
    for (int i = 0; i < 30000; ++i) {
        left += "left\n";
        right += "right\n";
    }
    const auto diff = lineDiff(left, right);
    BOOST_TEST(diff.size() == left.size() + right.size() + 60000);
}
