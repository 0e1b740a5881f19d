#include "exportsimulation.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill::Test;

// Guards against running calls whose responses are not delivered, under the load of responsescheduletest.
BOOST_AUTO_TEST_CASE(OverloadedLinksRunFewCallsInVain)
{
    for (const std::uint64_t seed : {1, 2}) {
        const auto result = ExportSimulation(seed, 136).run();
        BOOST_TEST(result.share(result.lost) < 0.005);
    }
}
