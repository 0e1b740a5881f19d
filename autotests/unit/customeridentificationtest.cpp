// Identification of callers by a whole PlatformNode, and what the node makes known of their keys.

#include "customernode.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace Galenahill;

namespace {

struct Fixture : CustomerNode
{
    Fixture()
        : CustomerNode(31, 32)
    {
    }

    // The customer that the target was told for the call; empty if it was told none. Requires that the
    // call ran exactly once.
    std::string customerAtTarget(const std::string &id)
    {
        const auto requests = atTarget(id);
        BOOST_REQUIRE_MESSAGE(requests.size() == 1, id << " ran " << requests.size() << " times");
        BOOST_TEST(requests[0].count(CustomerField) <= 1U);
        return std::string(requests[0][CustomerField]);
    }

    // Whether the call is answered with 401 and neither runs nor is forwarded.
    bool isRejected(const std::string &path, const std::string &id, const std::string &fields)
    {
        return call(path, id, fields).status == 401 && atTarget(id).empty() && atMember(id).empty();
    }

    static constexpr const char *CustomerField = "Galenahill-Tenant-Id";
};

// All letter cases of the scheme.
std::vector<std::string> schemes()
{
    const std::string lower = "bearer";
    std::vector<std::string> all;
    for (unsigned mask = 0; mask < (1U << lower.size()); ++mask) {
        std::string scheme = lower;
        for (std::size_t i = 0; i < scheme.size(); ++i) {
            if ((mask >> i & 1U) != 0) {
                scheme[i] = static_cast<char>(std::toupper(scheme[i]));
            }
        }
        all.push_back(scheme);
    }
    return all;
}

bool containsKey(const std::string &text)
{
    return text.find("clave-") != std::string::npos;
}

}

BOOST_FIXTURE_TEST_SUITE(customeridentification, Fixture)

// Guards against a caller that runs its calls in another customer's name, or as no customer at all.
BOOST_AUTO_TEST_CASE(OnlyTheKeyDecidesTheCustomer)
{
    const std::string forged = "Galenahill-Tenant-Id: norte\r\ngalenahill-tenant-id: norte\r\nGALENAHILL-Customer: norte;00000000;1\r\n"
                               "Galenahill-Customer-Name: norte\r\nGalenahill-Terms: 0;;wait;inner;;\r\n";
    BOOST_TEST(call("/orders/a", "own", forged + bearer(KeyOfSur)).status == 200);
    BOOST_TEST(customerAtTarget("own") == "sur");
    BOOST_TEST(call("/orders/a", "listed", "Connection: authorization, galenahill-tenant-id\r\n" + forged + bearer(SecondKeyOfSur)).status == 200);
    BOOST_TEST(customerAtTarget("listed") == "sur");
    BOOST_TEST(call("/status/a", "nobody", forged).status == 200);
    BOOST_TEST(customerAtTarget("nobody").empty());
    BOOST_TEST(isRejected("/orders/a", "without", forged));

    BOOST_TEST(call("/mail/a", "forwarded", forged + bearer(KeyOfSur)).status == 200);
    const auto forwarded = atMember("forwarded");
    BOOST_REQUIRE(forwarded.size() == 1U);
    BOOST_TEST(forwarded[0].count(CallHeaders::Customer) == 1U);
    BOOST_TEST(customerHeader(forwarded[0])->name == CustomerName("sur"));
    BOOST_TEST(!termsHeader(forwarded[0]).hasRunningParent);
    BOOST_TEST(forwarded[0].count(CustomerField) == 0U);
}

BOOST_AUTO_TEST_CASE(RejectsMissingUnknownAndRepeatedKeys)
{
    const std::string second = bearer(SecondKeyOfSur);
    BOOST_TEST(isRejected("/orders/a", "missing", ""));
    BOOST_TEST(isRejected("/orders/a", "unknown", bearer("clave-sur-71")));
    BOOST_TEST(isRejected("/orders/a", "empty", "Authorization: Bearer \r\n"));
    BOOST_TEST(isRejected("/orders/a", "bare", fmt::format("Authorization: {}\r\n", KeyOfSur)));
    BOOST_TEST(isRejected("/orders/a", "basic", fmt::format("Authorization: Basic {}\r\n", KeyOfSur)));
    BOOST_TEST(isRejected("/orders/a", "twice", bearer(KeyOfSur) + bearer(KeyOfSur)));
    BOOST_TEST(isRejected("/orders/a", "two", bearer(KeyOfSur) + "AUTHORIZATION: bearer " + KeyOfNorte + "\r\n"));
    BOOST_TEST(isRejected("/orders/a", "comma", fmt::format("Authorization: Bearer {}, Bearer {}\r\n", KeyOfSur, KeyOfSur)));
    BOOST_TEST(isRejected("/mail/a", "remote", bearer("clave-sur-71")));
    // Which routes exist is no business of callers without a key.
    BOOST_TEST(isRejected("/elsewhere/a", "unrouted", ""));
    BOOST_TEST(call("/elsewhere/a", "unrouted", bearer(KeyOfSur)).status == 404);
}

BOOST_AUTO_TEST_CASE(MatchesTheSchemeInEveryLetterCase)
{
    for (const auto &scheme : schemes()) {
        BOOST_TEST(call("/orders/a", scheme, fmt::format("Authorization: {} {}\r\n", scheme, KeyOfNorte)).status == 200, scheme);
        BOOST_TEST(customerAtTarget(scheme) == "norte");
    }
}

// An anonymous route serves everybody, and names the customer where the key is one.
BOOST_AUTO_TEST_CASE(AnonymousRoutesNeedNoKey)
{
    BOOST_TEST(call("/status/a", "plain").status == 200);
    BOOST_TEST(customerAtTarget("plain").empty());
    BOOST_TEST(call("/status/a", "known", bearer(KeyOfSur)).status == 200);
    BOOST_TEST(customerAtTarget("known") == "sur");
    BOOST_TEST(call("/status/a", "unknown", bearer("clave-sur-0")).status == 200);
    BOOST_TEST(customerAtTarget("unknown").empty());
    BOOST_TEST(call("/status/a", "two", bearer(KeyOfSur) + bearer(KeyOfNorte)).status == 200);
    BOOST_TEST(customerAtTarget("two").empty());
}

// Guards against a caller that skips identification, limits and queues by naming a parent call: one
// that never ran, or one that has ended.
BOOST_AUTO_TEST_CASE(OnlyCallsOfARunningParentAreNested)
{
    BOOST_TEST(isRejected("/mail/a", "ghost.1", ""));
    BOOST_TEST(isRejected("/mail/a", ".1", ""));
    BOOST_TEST(call("/mail/a", "ghost.2", bearer(KeyOfNorte)).status == 200);
    BOOST_TEST(!termsHeader(atMember("ghost.2")[0]).hasRunningParent);
    BOOST_TEST(termsHeader(atMember("ghost.2")[0]).priority == 3U);

    std::thread root([this] { call("/orders/hold", "root", bearer(KeyOfNorte)); });
    waitForHeld(1);
    BOOST_TEST(call("/mail/a", "root.1").status == 200);
    // A part of the id is not the id.
    BOOST_TEST(isRejected("/mail/a", "roo.1", ""));
    release();
    root.join();
    BOOST_TEST(isRejected("/mail/a", "root.2", ""));
}

// The customer's priority applies to its calls, and to the calls that targets make for them at any
// depth, whatever the priorities of the routes.
BOOST_AUTO_TEST_CASE(PriorityOfTheCustomerAppliesAlongTheChain)
{
    BOOST_TEST(call("/mail/a", "first", bearer(KeyOfSur)).status == 200);
    BOOST_TEST(termsHeader(atMember("first")[0]).priority == 0U);
    BOOST_TEST(call("/news/a", "open").status == 200);
    BOOST_TEST(termsHeader(atMember("open")[0]).priority == 0U);

    std::thread root([this] { call("/orders/hold", "root", bearer(KeyOfNorte)); });
    waitForHeld(1);
    BOOST_TEST(call("/mail/a", "root.1").status == 200);
    release();
    root.join();
    const auto nested = atMember("root.1");
    BOOST_REQUIRE(nested.size() == 1U);
    BOOST_TEST(termsHeader(nested[0]).priority == 3U);
    BOOST_TEST(termsHeader(nested[0]).hasRunningParent);
    BOOST_TEST(customerHeader(nested[0])->name == CustomerName("norte"));

    // The nested call as it arrives from another node, and a call that the target makes for it.
    const std::string fields = fmt::format(
        "Galenahill-Customer: {}\r\nGalenahill-Terms: {}\r\n", std::string(nested[0][CallHeaders::Customer]), std::string(nested[0][CallHeaders::Terms]));
    std::thread second([&] { forward("/orders/hold", "root.1", fields); });
    waitForHeld(1);
    BOOST_TEST(call("/mail/a", "root.1.1").status == 200);
    release();
    second.join();
    const auto deeper = atMember("root.1.1");
    BOOST_REQUIRE(deeper.size() == 1U);
    BOOST_TEST(termsHeader(deeper[0]).priority == 3U);
    BOOST_TEST(customerHeader(deeper[0])->name == CustomerName("norte"));
}

// Guards against a customer that goes on with a revoked key over a connection that it keeps open.
BOOST_AUTO_TEST_CASE(RevokedKeyIsRejectedOnAKeptConnection)
{
    RawClient caller(ingress());
    caller.send(request("/orders/a", "before", bearer(SecondKeyOfSur)));
    BOOST_TEST(caller.readTo("\r\n\r\n").find("200 OK") != std::string::npos);
    adopt(2, documentWithCustomers(2, fmt::format("\"{}\"", KeyOfSur)));
    caller.readTo("target");
    caller.send(request("/orders/a", "after", bearer(SecondKeyOfSur)));
    BOOST_TEST(caller.readTo("\r\n\r\n").find("401 Unauthorized") != std::string::npos);
    BOOST_TEST(atTarget("after").empty());
    BOOST_TEST(call("/orders/a", "other", bearer(KeyOfSur)).status == 200);
}

// Guards against a call that waits for its slot while its key is revoked, and runs all the same. A call
// by the customer's other key keeps its place.
BOOST_AUTO_TEST_CASE(RevokedKeyIsRejectedInTheQueue)
{
    std::thread running([this] { call("/orders/hold", "running", bearer(SecondKeyOfSur)); });
    waitForHeld(1);
    Reply revoked;
    Reply kept;
    std::thread first([&] { revoked = call("/orders/a", "revoked", bearer(SecondKeyOfSur)); });
    std::thread second([&] { kept = call("/orders/a", "kept", bearer(KeyOfSur)); });
    std::this_thread::sleep_for(Milliseconds(100));
    adopt(2, documentWithCustomers(2, fmt::format("\"{}\"", KeyOfSur)));
    release();
    for (auto *thread : {&running, &first, &second}) {
        thread->join();
    }
    BOOST_TEST(atTarget("running").size() == 1U);
    BOOST_TEST(revoked.status == 401);
    BOOST_TEST(atTarget("revoked").empty());
    BOOST_TEST(logged().find("sidecar-refused id=revoked route=orders reason=no customer has this key") != std::string::npos, logged());
    BOOST_TEST(kept.status == 200);
    BOOST_TEST(customerAtTarget("kept") == "sur");
}

// A node at an older revision, which has no customers yet, forwards the field unread.
BOOST_AUTO_TEST_CASE(SidecarRemovesAForwardedKey)
{
    BOOST_TEST(forward("/orders/a", "older", "Galenahill-Terms: 0;;wait;;;\r\n" + bearer(KeyOfSur)).status == 200);
    BOOST_TEST(!containsKey(receivedByTarget()));
}

// Searches all that the node writes for the keys, after calls of every outcome and after configurations
// that cannot be read.
BOOST_AUTO_TEST_CASE(KeysAppearNowhere)
{
    call("/orders/a", "answered", bearer(KeyOfSur));
    call("/mail/a", "forwarded", bearer(KeyOfNorte));
    call("/news/a", "open", bearer(SecondKeyOfSur));
    call("/orders/a", "unknown", bearer("clave-unknown"));
    call("/orders/a", "two", bearer(KeyOfSur) + bearer(KeyOfNorte));
    call("/status/a", "trailer", "Transfer-Encoding: chunked\r\nTrailer: Authorization\r\n\r\n1\r\nx\r\n0\r\n" + bearer(KeyOfSur));
    std::thread held([this] { call("/orders/hold", "held", bearer(KeyOfSur)); });
    waitForHeld(1);
    call("/orders/a", "late", "Galenahill-Deadline-Ms: 50\r\n" + bearer(KeyOfSur));
    release();
    held.join();

    const auto valid = documentWithCustomers(2, fmt::format("\"{}\"", KeyOfSur));
    for (const std::string broken : {"\"clave-unterminated", "\"clave-\\q\"", "\"clave-a\" \"clave-b\""}) {
        const auto before = logged().size();
        store(documentWithCustomers(2, broken));
        const auto end = Clock::now() + Milliseconds(3000);
        while (logged().find("stored-revision-invalid", before) == std::string::npos && Clock::now() < end) {
            std::this_thread::sleep_for(Milliseconds(20));
        }
    }
    adopt(2, valid);
    BOOST_TEST(logged().find("stored-revision-invalid") != std::string::npos);
    BOOST_TEST(logged().find("call-") != std::string::npos);
    BOOST_TEST(!containsKey(written()), written());
    BOOST_TEST(!containsKey(metrics()));
    BOOST_TEST(!containsKey(receivedByTarget()));
}

BOOST_AUTO_TEST_SUITE_END()
