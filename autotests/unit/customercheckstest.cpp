#include "customerchecks.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

// Calls that one target got, with the keys of their callers and the customers that it was told.
CustomerRecords recordsOf(const std::vector<std::pair<std::string, std::string>> &keysAndCustomers)
{
    CustomerRecords records{.customerOfKey = {{"key-uno", "uno"}, {"key-dos", "dos"}}, .rejectedKeys = {"key-unknown", "key-old"}};
    TargetHistory target{.target = "t"};
    for (const auto &[key, customer] : keysAndCustomers) {
        CallRecord call;
        call.id = "call-" + std::to_string(records.calls.size());
        call.key = key;
        target.customers.push_back({.call = call.id, .customer = customer});
        records.calls.push_back(call);
    }
    records.targets.push_back(target);
    return records;
}

}

// Guards against a check that cannot see the fault that it is for.
BOOST_AUTO_TEST_CASE(FindsWrongCustomers)
{
    BOOST_TEST(customerViolations(recordsOf({{"key-uno", "uno"}, {"key-dos", "dos"}, {"", ""}})).empty());
    BOOST_TEST(customerViolations(recordsOf({{"key-uno", "dos"}})).size() == 1U);
    BOOST_TEST(customerViolations(recordsOf({{"key-uno", ""}})).size() == 1U);
    BOOST_TEST(customerViolations(recordsOf({{"", "uno"}})).size() == 1U);
}

BOOST_AUTO_TEST_CASE(FindsCallsWithRejectedKeys)
{
    BOOST_TEST(customerViolations(recordsOf({{"key-unknown", ""}, {"key-old", "dos"}})).size() == 2U);
}

BOOST_AUTO_TEST_CASE(FindsKeysThatReachedATarget)
{
    auto records = recordsOf({{"key-uno", "uno"}});
    records.targets[0].leaks.push_back({.value = "call-0"});
    BOOST_TEST(customerViolations(records).size() == 1U);
}
