#include "core/config/customervalidator.h"
#include "core/config/configlimits.h"
#include "core/config/configsnapshot.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <limits>

using namespace Galenahill;

namespace {

const std::string Service = "[service ventas]\ndata-centres = rosario-a\nslots = 6\nconnections = 120\n";
const std::string Route = "[route pedidos]\npath = /ventas\nmethods = GET\nservice = ventas\nidempotent = yes\ntimeout-ms = 1000\n";
const std::string Customer = "[customer alondra]\napi-keys = key-one, key-two\n";

std::string errorsOf(const std::vector<ConfigFile> &files)
{
    const auto snapshot = ConfigSnapshot::validate(files);
    const auto errors = snapshot ? std::string() : snapshot.error().message;
    BOOST_TEST_MESSAGE(errors);
    return errors;
}

std::string errorsOf(const std::string &text)
{
    return errorsOf({{FileName("f.ini"), text}});
}

std::string errorsOf(std::vector<CustomerDefinition> customers)
{
    ConfigDefinitions definitions;
    definitions.customers = std::move(customers);
    const auto snapshot = ConfigSnapshot::assemble(std::move(definitions));
    return snapshot ? std::string() : snapshot.error().message;
}

std::shared_ptr<const ConfigSnapshot> snapshotOf(const std::string &text)
{
    const auto snapshot = ConfigSnapshot::validate({{FileName("f.ini"), text}});
    BOOST_REQUIRE_MESSAGE(snapshot.has_value(), snapshot.error().message);
    return *snapshot;
}

std::string fingerprintOf(const std::string &key)
{
    return formatFingerprint(KeyDigest(key).fingerprint());
}

CustomerDefinition customerWith(const std::string &name, const std::vector<std::string> &keys, CustomerLimit limit = {})
{
    CustomerDefinition customer;
    customer.name = CustomerName(name);
    for (const auto &key : keys) {
        CustomerValidator::addKey(customer, key);
    }
    customer.limit = limit;
    return customer;
}

}

BOOST_AUTO_TEST_CASE(ReadsACustomer)
{
    const auto snapshot = snapshotOf(Customer + "rate-per-s = 12.5\nburst = 40\npriority = 2\n");
    const auto *customer = snapshot->customerOfKey(KeyDigest("key-two"));
    BOOST_REQUIRE(customer != nullptr);
    BOOST_TEST((customer->name == CustomerName("alondra")));
    BOOST_TEST(customer->keys.size() == 2U);
    BOOST_TEST(customer->limit.ratePerSecond == 12.5);
    BOOST_TEST(customer->limit.burst == 40);
    BOOST_TEST(customer->priority.value() == 2U);
    BOOST_TEST(snapshot->customerOfKey(KeyDigest("key-three")) == nullptr);
}

// Without customers, callers without keys must be served as before; with one, also an unlimited one without
// keys, they must not be served.
BOOST_AUTO_TEST_CASE(RequiresKeysWithTheFirstCustomer)
{
    BOOST_TEST(!snapshotOf(Service)->requiresKeys());
    BOOST_TEST(snapshotOf(Service + Customer)->requiresKeys());
    const auto revoked = snapshotOf("[customer alondra]\napi-keys =\n");
    BOOST_TEST(revoked->requiresKeys());
    BOOST_TEST(revoked->customers().front().keys.empty());
    BOOST_TEST(!revoked->customers().front().limit.limited());
    BOOST_TEST(!revoked->customers().front().priority.has_value());
}

// A key in two places would give the calls of one customer to another.
BOOST_AUTO_TEST_CASE(RejectsAKeyInTwoPlaces)
{
    const auto fingerprint = fingerprintOf("key-two");
    const auto twice = errorsOf("[customer alondra]\napi-keys = key-two, key-one, key-two\n");
    BOOST_TEST(twice == fmt::format("f.ini [customer alondra] api-keys: the key with fingerprint {} is listed twice; remove one", fingerprint));
    const auto both = errorsOf({{FileName("a.ini"), Customer}, {FileName("b.ini"), "[customer benteveo]\napi-keys = key-two\n"}});
    BOOST_TEST(both
        == fmt::format(
            "b.ini [customer benteveo] api-keys: the key with fingerprint {} also belongs to [customer alondra] in a.ini; remove it from one of the two",
            fingerprint));
}

BOOST_AUTO_TEST_CASE(RejectsInvalidKeys)
{
    const std::string begin = "[customer alondra]\napi-keys = ";
    BOOST_TEST(errorsOf(begin + "key-one,, key-two\n") == "f.ini [customer alondra] api-keys: a key is empty; separate keys by single commas");
    const auto blank = errorsOf(begin + "key-one key-two\n");
    BOOST_TEST(blank.find("[customer alondra] api-keys: the key with fingerprint " + fingerprintOf("key-one key-two")) != std::string::npos);
    BOOST_TEST(blank.find("contains blanks or control characters") != std::string::npos);
    BOOST_TEST(errorsOf(begin + "key-one\tkey-two\n").find("contains blanks or control characters") != std::string::npos);
    BOOST_TEST(errorsOf({customerWith("alondra", {"key\none"})}).find("contains blanks or control characters") != std::string::npos);
    BOOST_TEST(errorsOf({customerWith("alondra", {""})}).find("a key is empty") != std::string::npos);
}

// The output of show contains placeholders; applied as they are, they would lock the customer out.
BOOST_AUTO_TEST_CASE(RejectsAPlaceholderOfAKey)
{
    BOOST_TEST(errorsOf("[customer alondra]\napi-keys = key-one, <key 0123abcd>\n")
        == "f.ini [customer alondra] api-keys: <key 0123abcd> stands for a key that isn't shown; write the key itself");
}

BOOST_AUTO_TEST_CASE(RejectsInvalidLimits)
{
    BOOST_TEST(errorsOf(Customer + "rate-per-s = -1\nburst = 5\n") == "f.ini [customer alondra] rate-per-s = -1: give the calls per second, or 0 for no limit");
    BOOST_TEST(errorsOf(Customer + "rate-per-s = 5\nburst = 0.5\n")
        == "f.ini [customer alondra] burst = 0.5: a customer with rate-per-s needs a burst of at least 1 call; raise or add it");
    BOOST_TEST(errorsOf(Customer + "rate-per-s = 5\n").find("raise or add it") != std::string::npos);
    BOOST_TEST(errorsOf(Customer + "burst = -2\n").find("burst = -2") != std::string::npos);
    for (const std::string rate : {"nan", "inf", "5/s", ""}) {
        BOOST_TEST(errorsOf(fmt::format("{}rate-per-s = {}\nburst = 5\n", Customer, rate)) != "", rate);
    }
    BOOST_TEST(errorsOf(Customer + "priority = 101\n").find("priority = 101: give a whole number from 0 to 100") != std::string::npos);
    const auto infinite = std::numeric_limits<double>::infinity();
    BOOST_TEST(errorsOf({customerWith("alondra", {}, {.ratePerSecond = infinite, .burst = 1})}) != "");
    BOOST_TEST(errorsOf({customerWith("alondra", {}, {.ratePerSecond = 1, .burst = infinite})}) != "");
}

BOOST_AUTO_TEST_CASE(RejectsTwoCustomersOfOneName)
{
    BOOST_TEST(errorsOf({{FileName("a.ini"), Customer}, {FileName("b.ini"), "[customer alondra]\napi-keys = key-three\n"}})
        == "b.ini [customer alondra] also defined in a.ini; remove or rename one of the two");
    BOOST_TEST(errorsOf({customerWith("alondra", {}), customerWith("alondra", {})})
        == "[customer alondra] also defined in the same document; remove or rename one of the two");
}

// Names are sent in header fields.
BOOST_AUTO_TEST_CASE(RejectsNamesThatAreNoHeaderValues)
{
    BOOST_TEST(errorsOf({customerWith("", {})}) != "");
    BOOST_TEST(errorsOf({customerWith("alondra\r\nx: y", {})}) != "");
    BOOST_TEST(errorsOf({customerWith(" alondra", {})}) != "");
    BOOST_TEST(errorsOf({customerWith(std::string(101, 'a'), {})}) != "");
    BOOST_TEST(errorsOf({customerWith("alondra del valle; s.a.", {})}) == "");
}

BOOST_AUTO_TEST_CASE(LimitsTheNumberOfCustomers)
{
    std::vector<CustomerDefinition> customers;
    for (std::size_t i = 0; i < ConfigLimits::MaxCustomers; ++i) {
        customers.push_back(customerWith(fmt::format("c{}", i), {fmt::format("key-{}", i)}));
    }
    BOOST_TEST(errorsOf(customers) == "");
    customers.push_back(customerWith("one-more", {}));
    BOOST_TEST(errorsOf(customers) == "10001 customers, the limit is 10000; remove customers that aren't needed");
}

// Errors are logged and shown, so none may contain a key, whatever is wrong with the section.
BOOST_AUTO_TEST_CASE(NoErrorContainsAKey)
{
    const std::string key = "s3cr3tvalue";
    const std::vector<std::string> texts = {
        "[customer a]\napi-keys = s3cr3tvalue, s3cr3tvalue\n",
        "[customer a]\napi-keys = s3cr3tvalue\n[customer b]\napi-keys = s3cr3tvalue\n",
        "[customer a]\napi-keys = s3cr3tvalue x\n",
        "[customer a]\napi-keys = one, s3cr3tvalue ; the old one\n",
        "[customer a]\napi-keyz = s3cr3tvalue\n",
        "[customer a]\napi-keys = one,\ns3cr3tvalue==\n",
        "[customer a]\napi-keys = one,\ns3cr3tvalue\n",
        "[customer a]\napi-keys = s3cr3tvalue\napi-keys = s3cr3tvalue\n",
        "[custmer a]\napi-keys = s3cr3tvalue\n",
    };
    for (const auto &text : texts) {
        const auto errors = errorsOf(text);
        BOOST_TEST(errors != "", text);
        BOOST_TEST(errors.find(key) == std::string::npos, text);
    }
}

BOOST_AUTO_TEST_CASE(ReadsAnonymousRoutesAndLargeResponses)
{
    const auto snapshot = snapshotOf(Service + Route + "anonymous = yes\nlarge-responses = yes\n");
    const auto *route = snapshot->route("GET", "/ventas");
    BOOST_REQUIRE(route != nullptr);
    BOOST_TEST(route->anonymous);
    BOOST_TEST((route->type == CallType::LargeResponse));
    BOOST_TEST(route->idempotent());
    const auto plain = snapshotOf(Service + Route + "anonymous = no\nlarge-responses = no\nretries = 2\n");
    BOOST_TEST(!plain->routes().front().anonymous);
    BOOST_TEST((plain->routes().front().type == CallType::Idempotent));
}

// The response may break off and the call then run again.
BOOST_AUTO_TEST_CASE(RejectsLargeResponsesOfCallsThatRunOnce)
{
    auto route = Route;
    route.replace(route.find("idempotent = yes"), 16, "idempotent = no");
    BOOST_TEST(errorsOf(Service + route + "large-responses = yes\n").find("f.ini [route pedidos] large-responses = yes: needs calls that may run again") == 0U);
    BOOST_TEST(errorsOf(Service + Route + "large-responses = true\n").find("large-responses = true: write yes if") != std::string::npos);
    BOOST_TEST(errorsOf(Service + Route + "anonymous = true\n").find("anonymous = true: write yes if") != std::string::npos);
}
