#include "core/calls/priorityinversionguard.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const ServiceName Rates("rates");
const ServiceName Submissions("submissions");

RouteDefinition route(const std::string &name, const ServiceName &service, std::uint32_t priority)
{
    RouteDefinition definition;
    definition.name = RouteName(name);
    definition.service = service;
    definition.priority = priority;
    return definition;
}

struct Fixture
{
    RouteDefinition lookup = route("lookup", Rates, 2);
    RouteDefinition submit = route("submit", Submissions, 1);
    PriorityInversionGuard guard{{.seed = 7}};
    TimePoint now{std::chrono::seconds(1)};

    // A second of submissions, of which that many of ten are rejected.
    void submissions(int rejectedOfTen)
    {
        for (int i = 0; i < 20; ++i) {
            now += Milliseconds(50);
            guard.callEnded(submit, Submissions, i % 10 < rejectedOfTen, now);
        }
    }

    // Fraction of a thousand calls of the route that the guard sheds.
    double shedFraction(const RouteDefinition &calls)
    {
        int count = 0;
        for (int i = 0; i < 1000; ++i) {
            count += guard.shouldShed(calls, now) ? 1 : 0;
        }
        return count / 1000.0;
    }
};

}

// Each lookup calls the submissions service twice, and nested calls go first there. Two of three
// submission targets are left: without the guard all lookups were served, and 8 of 10 budget
// submissions were rejected.
BOOST_FIXTURE_TEST_CASE(LookupsAreShedInFavourOfSubmissions, Fixture)
{
    guard.setCalledServices(lookup.name, {Submissions});
    submissions(8);
    submissions(8);
    BOOST_TEST(shedFraction(lookup) > 0.65);
    BOOST_TEST(shedFraction(lookup) < 0.85);
    // Submissions are never shed in favour of lookups.
    guard.setCalledServices(submit.name, {Rates});
    for (int i = 0; i < 20; ++i) {
        guard.callEnded(lookup, Rates, true, now);
    }
    BOOST_TEST(shedFraction(submit) == 0);
}

// Nothing is shed before the guard knows that the route calls the service, nor for a service that
// it does not call.
BOOST_FIXTURE_TEST_CASE(OnlyRoutesThatCallTheServiceAreShed, Fixture)
{
    submissions(8);
    BOOST_TEST(shedFraction(lookup) == 0);
    guard.setCalledServices(lookup.name, {ServiceName("archive")});
    BOOST_TEST(shedFraction(lookup) == 0);
}

// Lookups that are rejected as often for lack of slots of their own are not shed in addition.
BOOST_FIXTURE_TEST_CASE(OtherRejectionsCount, Fixture)
{
    guard.setCalledServices(lookup.name, {Submissions});
    submissions(4);
    for (int i = 0; i < 50; ++i) {
        guard.callEnded(lookup, Rates, i % 2 == 0, now);
    }
    BOOST_TEST(shedFraction(lookup) == 0);
}

// The targets return; seconds later nothing is shed any more.
BOOST_FIXTURE_TEST_CASE(StopsSheddingWithinSeconds, Fixture)
{
    guard.setCalledServices(lookup.name, {Submissions});
    submissions(9);
    for (int second = 0; second < 6; ++second) {
        submissions(0);
    }
    BOOST_TEST(shedFraction(lookup) == 0);
}
