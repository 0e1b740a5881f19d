#include "core/calls/urgencyguard.h"

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
    UrgencyGuard guard{{.seed = 7}};
    TimePoint now{std::chrono::seconds(1)};

    // A second of submissions, of which so many of ten are refused.
    void submissions(int refusedOfTen)
    {
        for (int i = 0; i < 20; ++i) {
            now += Milliseconds(50);
            guard.ended(submit, Submissions, i % 10 < refusedOfTen, now);
        }
    }

    // Share of a thousand calls of the route that give way.
    double givingWay(const RouteDefinition &calls)
    {
        int count = 0;
        for (int i = 0; i < 1000; ++i) {
            count += guard.shedLoad(calls, now) ? 1 : 0;
        }
        return count / 1000.0;
    }
};

}

// Each lookup's run asks the submissions service twice, and calls of running calls go
// first there. Two of three submission targets are left: without the guard all
// lookups were served, and 8 of 10 budget submissions refused.
BOOST_FIXTURE_TEST_CASE(LookupsGiveWayToSubmissionsThatTheyCrowdOut, Fixture)
{
    guard.learn(lookup.name, {Submissions});
    submissions(8);
    submissions(8);
    BOOST_TEST(givingWay(lookup) > 0.65);
    BOOST_TEST(givingWay(lookup) < 0.85);
    // Never the other way round.
    guard.learn(submit.name, {Rates});
    for (int i = 0; i < 20; ++i) {
        guard.ended(lookup, Rates, true, now);
    }
    BOOST_TEST(givingWay(submit) == 0);
}

// Nothing is refused before it is known that the runs lead there, nor for a service to
// which they don't.
BOOST_FIXTURE_TEST_CASE(OnlyRoutesThatLeadToTheServiceGiveWay, Fixture)
{
    submissions(8);
    BOOST_TEST(givingWay(lookup) == 0);
    guard.learn(lookup.name, {ServiceName("archive")});
    BOOST_TEST(givingWay(lookup) == 0);
}

// Lookups that are refused as often for want of slots of their own don't give way on
// top of it.
BOOST_FIXTURE_TEST_CASE(WhatIsRefusedAnywayCounts, Fixture)
{
    guard.learn(lookup.name, {Submissions});
    submissions(4);
    for (int i = 0; i < 50; ++i) {
        guard.ended(lookup, Rates, i % 2 == 0, now);
    }
    BOOST_TEST(givingWay(lookup) == 0);
}

// The targets return; seconds later nothing gives way any more.
BOOST_FIXTURE_TEST_CASE(ForgetsWithinSeconds, Fixture)
{
    guard.learn(lookup.name, {Submissions});
    submissions(9);
    for (int second = 0; second < 6; ++second) {
        submissions(0);
    }
    BOOST_TEST(givingWay(lookup) == 0);
}
