#include "core/customers/calleridentity.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

using Status = CallerIdentity::Status;

const std::string Routes = "[service ventas]\ndata-centres = rosario-a\nslots = 6\nconnections = 120\n"
                           "[route pedidos]\npath = /ventas\nmethods = GET\nservice = ventas\nidempotent = yes\ntimeout-ms = 1000\n"
                           "[route horarios]\npath = /horarios\nmethods = GET\nservice = ventas\nidempotent = yes\ntimeout-ms = 1000\nanonymous = yes\n";
const std::string Customers = "[customer alondra]\napi-keys = key-one, key-two\n[customer benteveo]\napi-keys = key-three\n";

std::shared_ptr<const ConfigSnapshot> snapshotOf(const std::string &text)
{
    const auto snapshot = ConfigSnapshot::validate({{FileName("f.ini"), text}});
    BOOST_REQUIRE_MESSAGE(snapshot.has_value(), snapshot.error().message);
    return *snapshot;
}

struct Fixture
{
    std::shared_ptr<const ConfigSnapshot> config = snapshotOf(Routes + Customers);
    const RouteDefinition *route = config->route("GET", "/ventas");
    const RouteDefinition *anonymousRoute = config->route("GET", "/horarios");

    CallerIdentity identify(const std::vector<std::string_view> &fields) const
    {
        return identifyCaller(*config, route, fields, false);
    }

    bool identifiesAlondra(std::string_view field) const
    {
        const auto identity = identify({field});
        return identity.status == Status::Identified && identity.customer != nullptr && identity.customer->name == CustomerName("alondra")
            && identity.key == KeyDigest("key-one");
    }
};

IdentifiedCustomer identified(const std::string &name, const std::string &key, std::uint64_t revision)
{
    return {.name = CustomerName(name), .keyFingerprint = KeyDigest(key).fingerprint(), .revision = Revision(revision)};
}

}

BOOST_FIXTURE_TEST_SUITE(calleridentity, Fixture)

// RFC 7235 lets callers write the scheme in any case.
BOOST_AUTO_TEST_CASE(IgnoresTheCaseOfTheScheme)
{
    for (const std::string field : {"Bearer key-one", "bearer key-one", "BEARER key-one", "bEaReR key-one"}) {
        BOOST_TEST(identifiesAlondra(field), field);
    }
    BOOST_TEST((identify({"Bearer Key-One"}).status == Status::UnknownKey));
}

BOOST_AUTO_TEST_CASE(IgnoresBlanksAroundTheKey)
{
    for (const std::string field : {"Bearer  key-one", "Bearer key-one ", " Bearer \tkey-one\t "}) {
        BOOST_TEST(identifiesAlondra(field), field);
    }
}

BOOST_AUTO_TEST_CASE(RejectsMissingAndUnknownKeys)
{
    BOOST_TEST((identify({}).status == Status::MissingKey));
    for (const std::string field : {"",
             "Bearer",
             "Bearer ",
             "Bearer  ",
             "Bearerkey-one",
             "key-one",
             "Basic key-one",
             "Bearer key-four",
             "Bearer key-one key-one",
             "Bearer key-one, Bearer key-one",
             "Bearer key-on",
             "Bearer: key-one"}) {
        const auto identity = identify({field});
        BOOST_TEST((identity.status == Status::UnknownKey), field);
        BOOST_TEST(!identity.accepted());
        BOOST_TEST(identity.customer == nullptr);
    }
}

// Two fields could name different customers, and nodes and caches on the way might read different ones.
BOOST_AUTO_TEST_CASE(RejectsTwoFields)
{
    BOOST_TEST((identify({"Bearer key-one", "Bearer key-one"}).status == Status::SeveralKeys));
    BOOST_TEST((identify({"Bearer key-one", "Bearer key-three"}).status == Status::SeveralKeys));
    BOOST_TEST((identify({"Bearer key-one", ""}).status == Status::SeveralKeys));
}

BOOST_AUTO_TEST_CASE(NeedsNoKeyWithoutCustomers)
{
    const auto open = snapshotOf(Routes);
    const std::vector<std::vector<std::string_view>> fields = {{}, {"Bearer key-one"}, {"Bearer key-one", "Basic x"}};
    for (const auto &each : fields) {
        const auto identity = identifyCaller(*open, open->route("GET", "/ventas"), each, false);
        BOOST_TEST((identity.status == Status::NoKeyNeeded));
        BOOST_TEST(identity.customer == nullptr);
    }
}

// A probe of paths must not tell callers without a key which routes exist.
BOOST_AUTO_TEST_CASE(NeedsAKeyIfNoRouteMatches)
{
    BOOST_TEST((identifyCaller(*config, nullptr, {}, false).status == Status::MissingKey));
    BOOST_TEST((identifyCaller(*config, nullptr, {"Bearer key-one"}, false).status == Status::Identified));
}

BOOST_AUTO_TEST_CASE(NeedsNoKeyOnAnAnonymousRoute)
{
    BOOST_TEST((identifyCaller(*config, anonymousRoute, {}, false).status == Status::NoKeyNeeded));
    const auto unknown = identifyCaller(*config, anonymousRoute, {"Bearer key-four"}, false);
    BOOST_TEST((unknown.status == Status::NoKeyNeeded));
    BOOST_TEST(unknown.customer == nullptr);
    const auto known = identifyCaller(*config, anonymousRoute, {"Bearer key-three"}, false);
    BOOST_TEST((known.status == Status::Identified));
    BOOST_TEST((known.customer->name == CustomerName("benteveo")));
}

// A target has no key of its own; its nested calls are made for the customer of the parent call.
BOOST_AUTO_TEST_CASE(NestedCallsNeedNoKeyWithARunningParent)
{
    BOOST_TEST((identifyCaller(*config, route, {}, true).status == Status::NoKeyNeeded));
    BOOST_TEST((identifyCaller(*config, route, {}, false).status == Status::MissingKey));
    BOOST_TEST((identifyCaller(*config, route, {"Bearer key-one"}, true).status == Status::Identified));
}

BOOST_AUTO_TEST_CASE(RejectionsNameARemedyAndNoKey)
{
    for (const auto status : {Status::MissingKey, Status::UnknownKey, Status::SeveralKeys}) {
        BOOST_TEST(!CallerIdentity{.status = status}.accepted());
        BOOST_TEST(!rejectionText(status).empty());
        BOOST_TEST(rejectionText(status).find("key-one") == std::string::npos);
    }
    BOOST_TEST(rejectionText(Status::Identified).empty());
    BOOST_TEST(rejectionText(Status::NoKeyNeeded).empty());
}

// Calls that wait in a queue must not run with a key that was revoked meanwhile.
BOOST_AUTO_TEST_CASE(ANewerRevisionRevokesAKey)
{
    const auto without = snapshotOf("[customer alondra]\napi-keys = key-two\n");
    BOOST_TEST(isRevoked(identified("alondra", "key-one", 7), *without, Revision(8)));
    BOOST_TEST(!isRevoked(identified("alondra", "key-two", 7), *without, Revision(8)));
    BOOST_TEST(isRevoked(identified("benteveo", "key-three", 7), *without, Revision(8)));
    const auto noKeys = snapshotOf("[customer alondra]\napi-keys =\n");
    BOOST_TEST(isRevoked(identified("alondra", "key-two", 7), *noKeys, Revision(8)));
}

// A key that moved to another customer no longer identifies the first one.
BOOST_AUTO_TEST_CASE(AKeyThatMovedIsRevoked)
{
    const auto moved = snapshotOf("[customer alondra]\napi-keys = key-two\n[customer benteveo]\napi-keys = key-one\n");
    BOOST_TEST(isRevoked(identified("alondra", "key-one", 7), *moved, Revision(8)));
}

// A node that is behind does not have a new customer or key yet, which says nothing about its validity.
BOOST_AUTO_TEST_CASE(AnOlderOrTheSameRevisionRevokesNothing)
{
    const auto old = snapshotOf("[customer alondra]\napi-keys = key-two\n");
    BOOST_TEST(!isRevoked(identified("alondra", "key-one", 7), *old, Revision(6)));
    BOOST_TEST(!isRevoked(identified("benteveo", "key-three", 7), *old, Revision(6)));
    BOOST_TEST(!isRevoked(identified("alondra", "key-one", 7), *old, Revision(7)));
}

// Without customers, calls need no key, so there is none to revoke.
BOOST_AUTO_TEST_CASE(AConfigurationWithoutCustomersRevokesNothing)
{
    BOOST_TEST(!isRevoked(identified("alondra", "key-one", 7), *snapshotOf(Routes), Revision(8)));
}

BOOST_AUTO_TEST_CASE(WritesAndParsesTheFieldBetweenNodes)
{
    const IdentifiedCustomer customer{.name = CustomerName("alondra"), .keyFingerprint = 0xabc, .revision = Revision(17)};
    BOOST_TEST(formatCustomer(customer) == "alondra;00000abc;17");
    BOOST_TEST((parseCustomer("alondra;00000abc;17") == customer));
    const IdentifiedCustomer largest{.name = CustomerName("a;b; c"), .keyFingerprint = 0xffffffff, .revision = Revision(18446744073709551615U)};
    BOOST_TEST((parseCustomer(formatCustomer(largest)) == largest));
}

// The field comes from the network; a malformed one must be recognised and not be read in part.
BOOST_AUTO_TEST_CASE(RejectsMalformedFieldsBetweenNodes)
{
    for (const std::string field : {"",
             ";",
             ";;",
             ";00000abc;17",
             "alondra",
             "alondra;17",
             "alondra;00000abc",
             "alondra;;17",
             "alondra;00000abc;",
             "alondra;00000abg;17",
             "alondra;0x000abc;17",
             "alondra;100000000;17",
             "alondra;-1;17",
             "alondra;00000abc;-1",
             "alondra;00000abc;1.5",
             "alondra;00000abc;17 ",
             "alondra;00000abc; 17",
             "alondra;00000abc;18446744073709551616",
             "alondra;00000abc;17;"}) {
        BOOST_TEST(!parseCustomer(field).has_value(), field);
    }
}

BOOST_AUTO_TEST_SUITE_END()
