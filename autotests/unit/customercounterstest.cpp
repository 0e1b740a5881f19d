#include "core/customers/customercounters.h"
#include "daemon/customertext.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const CustomerName Alondra("alondra");
const CustomerName Benteveo("benteveo");

std::shared_ptr<const ConfigSnapshot> configWith(const std::string &text)
{
    const auto snapshot = ConfigSnapshot::validate({{FileName("f.ini"), text}});
    BOOST_REQUIRE_MESSAGE(snapshot.has_value(), snapshot.error().message);
    return *snapshot;
}

const std::string AlondraText = "[customer alondra]\napi-keys = k1\n";
const std::string BenteveoText = "[customer benteveo]\napi-keys = k2\n";

}

BOOST_AUTO_TEST_CASE(CountsByCustomerAndEvent)
{
    CustomerCounters counters;
    counters.setConfig(configWith(AlondraText + BenteveoText));
    counters.add(Alondra, CustomerEvent::Used);
    counters.add(Alondra, CustomerEvent::Used);
    counters.add(Alondra, CustomerEvent::RejectedForLimit);
    counters.add(Benteveo, CustomerEvent::Unauthorized);
    counters.add(CustomerName(), CustomerEvent::Unauthorized);
    const auto report = counters.report();
    BOOST_TEST((report.customers.at(Alondra) == CustomerCounts{.used = 2, .rejectedForLimit = 1}));
    BOOST_TEST((report.customers.at(Benteveo) == CustomerCounts{.unauthorized = 1}));
    BOOST_TEST(report.unidentified == 1U);
}

// Names come from callers' keys and other nodes' header fields; the counts must not grow beyond the configuration.
BOOST_AUTO_TEST_CASE(CountsConfiguredCustomersOnly)
{
    CustomerCounters counters;
    counters.add(Alondra, CustomerEvent::Used);
    BOOST_TEST(counters.report().customers.empty());
    counters.setConfig(configWith(AlondraText + BenteveoText));
    counters.add(CustomerName("calandria"), CustomerEvent::Used);
    counters.add(Alondra, CustomerEvent::Used);
    counters.add(Benteveo, CustomerEvent::Used);
    BOOST_TEST(counters.report().customers.size() == 2U);
    counters.setConfig(configWith(AlondraText));
    BOOST_TEST(counters.report().customers.size() == 1U);
    BOOST_TEST(counters.report().customers.at(Alondra).used == 1U);
}

// A target may answer 401 or 429 itself, which says nothing about the customer's key or limit.
BOOST_AUTO_TEST_CASE(TellsRejectionsFromTargetsResponses)
{
    BOOST_TEST((customerEventOf(CallResult::NotRun, 401) == CustomerEvent::Unauthorized));
    BOOST_TEST((customerEventOf(CallResult::NotRun, 429) == CustomerEvent::RejectedForLimit));
    BOOST_TEST(!customerEventOf(CallResult::NotRun, 503).has_value());
    BOOST_TEST((customerEventOf(CallResult::Answered, 401) == CustomerEvent::Used));
    BOOST_TEST((customerEventOf(CallResult::Answered, 429) == CustomerEvent::Used));
    BOOST_TEST((customerEventOf(CallResult::OutcomeUnknown, 502) == CustomerEvent::Used));
}

BOOST_AUTO_TEST_CASE(AddsTheCountsOfNodes)
{
    CustomerCountReport one{.customers = {{Alondra, {.used = 2}}}, .unidentified = 1};
    one.add({.customers = {{Alondra, {.used = 3, .rejectedForLimit = 4}}, {Benteveo, {.unauthorized = 5}}}, .unidentified = 2});
    const CustomerCountReport expected{.customers = {{Alondra, {.used = 5, .rejectedForLimit = 4}}, {Benteveo, {.unauthorized = 5}}}, .unidentified = 3};
    BOOST_TEST((one == expected));
    BOOST_TEST((customerCountsFromJson(customerCountsToJson(one)) == expected));
}

BOOST_AUTO_TEST_CASE(TreatsUnreadableCountsAsMissing)
{
    for (const std::string text : {"", "[]", "{}", R"({"customers":{"alondra":[1]},"unidentified":0})", R"({"customers":{},"unidentified":"x"})"}) {
        BOOST_TEST(!customerCountsFromJson(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(WritesMetrics)
{
    BOOST_TEST(customerMetricsText({}) == "");
    const auto text = customerMetricsText({.customers = {{CustomerName("al\"ondra\\"), {.used = 2, .rejectedForLimit = 1}}}, .unidentified = 7});
    BOOST_TEST(text
        == "# TYPE galenahill_customer_calls_total counter\n"
           "galenahill_customer_calls_total{customer=\"al\\\"ondra\\\\\",event=\"used\"} 2\n"
           "galenahill_customer_calls_total{customer=\"al\\\"ondra\\\\\",event=\"rejected-for-limit\"} 1\n"
           "galenahill_customer_calls_total{customer=\"al\\\"ondra\\\\\",event=\"unauthorized\"} 0\n"
           "# TYPE galenahill_unidentified_calls_total counter\n"
           "galenahill_unidentified_calls_total 7\n");
}
