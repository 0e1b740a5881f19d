#include "core/calls/runningcalls.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const TimePoint Start(std::chrono::seconds(1000));

RunningCall callOf(const char *route)
{
    return {.route = RouteName(route)};
}

}

BOOST_AUTO_TEST_SUITE(RunningCallsTest)

// The target's response is lost while it goes on executing the call. Guards against nested calls that
// are rejected because their parent call is taken to have ended.
BOOST_AUTO_TEST_CASE(KeepsACallWithoutAResponseUntilItsDeadline)
{
    RunningCalls calls;
    calls.started("a", callOf("pedidos"), Start);
    calls.unanswered("a", Start + Milliseconds(500));
    BOOST_TEST((calls.find("a", Start + Milliseconds(499))->route == RouteName("pedidos")));
    BOOST_TEST(calls.find("a", Start + Milliseconds(499))->isAbandoned);
    BOOST_TEST(!calls.find("a", Start + Milliseconds(500)).has_value());
}

// Guards against ids of ended calls by which a caller could pass its own calls off as nested ones.
BOOST_AUTO_TEST_CASE(ForgetsAnAnsweredCallAtOnce)
{
    RunningCalls calls;
    calls.started("a", callOf("pedidos"), Start);
    BOOST_TEST(calls.find("a", Start).has_value());
    BOOST_TEST(!calls.find("a", Start)->isAbandoned);
    calls.answered("a");
    BOOST_TEST(!calls.find("a", Start).has_value());
    BOOST_TEST(!calls.find("b", Start).has_value());
}

// Guards against memory that grows with the calls that were never answered.
BOOST_AUTO_TEST_CASE(RemovesExpiredCallsWhenOthersStart)
{
    RunningCalls calls;
    for (int i = 0; i < 100; ++i) {
        const auto id = std::to_string(i);
        calls.started(id, callOf("pedidos"), Start);
        calls.unanswered(id, Start + Milliseconds(100));
    }
    calls.started("again", callOf("pedidos"), Start + Milliseconds(50));
    calls.unanswered("again", Start + Milliseconds(100));
    calls.started("again", callOf("lectura"), Start + Milliseconds(90));
    calls.started("later", callOf("pedidos"), Start + Milliseconds(200));
    BOOST_TEST(calls.size() == 2U);
    BOOST_TEST((calls.find("again", Start + Milliseconds(200))->route == RouteName("lectura")));
}

BOOST_AUTO_TEST_SUITE_END()
