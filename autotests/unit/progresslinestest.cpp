#include "progresslines.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

// Guards against a verdict that depends on when the client first looks at the nodes.
BOOST_AUTO_TEST_CASE(KeepsTheLastProgressOfARevision)
{
    BOOST_TEST(lastProgressOnly("revision 7 in force on 0 of 1 nodes\nrevision 7 in force on 1 of 1 nodes\n") == "revision 7 in force on 1 of 1 nodes\n");
    BOOST_TEST(lastProgressOnly("revision 7 in force on 1 of 1 nodes\n") == "revision 7 in force on 1 of 1 nodes\n");
    BOOST_TEST(lastProgressOnly("").empty());
}

// Guards against a comparison that lets errors in the progress pass.
BOOST_AUTO_TEST_CASE(KeepsWhatIsNoPlainProgress)
{
    for (const auto *text : {"revision 7 in force on 1 of 2 nodes\nrevision 7 in force on 0 of 2 nodes\n",
             "revision 7 in force on 0 of 1 nodes\nrevision 8 in force on 1 of 1 nodes\n",
             "revision 7 in force on 0 of 1 nodes\nwarning\nrevision 7 in force on 1 of 1 nodes\n",
             "warning\n"}) {
        BOOST_TEST(lastProgressOnly(text) == text);
    }
}
