#include "core/calls/ignoredfields.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

// Guards against a statement of a target that is dropped without a trace.
BOOST_AUTO_TEST_CASE(ReportsEachUnreadFieldOnce)
{
    IgnoredFields fields({"Request-Id"});
    BOOST_TEST(!fields.isFirstSeen("request-id"));
    BOOST_TEST(fields.isFirstSeen("Server-State"));
    BOOST_TEST(!fields.isFirstSeen("server-state"));
}

// Guards against memory use that grows with the names that a target makes up.
BOOST_AUTO_TEST_CASE(ReportsABoundedNumberOfFields)
{
    IgnoredFields fields({});
    int reported = 0;
    for (int i = 0; i < 1000; ++i) {
        reported += fields.isFirstSeen("field-" + std::to_string(i)) ? 1 : 0;
    }
    BOOST_TEST(reported == 32);
}
