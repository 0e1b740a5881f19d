#include "core/configrepository.h"
#include "core/contenthash.h"
#include "fakeobjectstore.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const std::string ServiceText = "[service ventas]\ndata-centres = rosario-a\nslots = 6\nconnections = 120\n";
const std::string RouteText = "[route pedidos]\npath = /ventas\nmethods = POST\nservice = ventas\nidempotent = no\ntimeout-ms = 1000\n";

struct Fixture
{
    FakeObjectStore store;
    std::shared_ptr<const ConfigRevision> inForce;
    std::uint64_t highest = 0;

    ConfigRepository repository()
    {
        return ConfigRepository({.store = store,
            .inForce = [this] { return inForce; },
            .highestKnown = [this] { return Revision(highest); },
            .now = [] { return std::int64_t(1); }});
    }

    Result<ApplyOutcome> apply(const std::string &id, const std::string &file, const std::string &text, const std::string &basedOn = "")
    {
        auto outcome = repository().apply({.id = ApplyId(id), .file = FileName(file), .text = text, .operatorName = "ana", .basedOn = ContentHash(basedOn)});
        if (outcome && outcome->accepted) {
            inForce = outcome->accepted;
        }
        return outcome;
    }
};

}

BOOST_FIXTURE_TEST_CASE(AcceptsFilesOneAfterTheOther, Fixture)
{
    BOOST_TEST(apply("1", "services.ini", ServiceText)->revision.value() == 1U);
    BOOST_TEST(apply("2", "routes.ini", RouteText)->revision.value() == 2U);
    BOOST_TEST(inForce->snapshot->routes().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(RefusesWhatLeavesARouteHanging, Fixture)
{
    BOOST_TEST(!apply("1", "routes.ini", RouteText).has_value());
    BOOST_TEST(store.objects.empty());
    apply("2", "services.ini", ServiceText);
    apply("3", "routes.ini", RouteText);
    const auto removed
        = repository().apply({.id = ApplyId("4"), .file = FileName("services.ini"), .text = {}, .remove = true, .operatorName = "ana", .basedOn = {}});
    BOOST_REQUIRE(!removed.has_value());
    BOOST_TEST((removed.error().kind == ErrorKind::Invalid));
}

// The operator's client gets no answer though the store took the write. A
// second apply with the same id must give the first one's outcome: were the
// file applied again it could undo another operator's later change.
BOOST_FIXTURE_TEST_CASE(SettlesALostAnswerByApplyId, Fixture)
{
    store.afterWrite = [](const std::string &key) { return key == "config/head" ? std::optional(Error{ErrorKind::OutcomeUnknown, "lost"}) : std::nullopt; };
    const auto first = apply("1", "services.ini", ServiceText);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->revision.value() == 1U);
    store.afterWrite = nullptr;
    BOOST_TEST(apply("1", "services.ini", ServiceText)->revision.value() == 1U);
    BOOST_TEST(repository().outcome(ApplyId("1"))->revision.value() == 1U);
    BOOST_TEST((repository().outcome(ApplyId("9")).error().kind == ErrorKind::NotFound));
}

BOOST_FIXTURE_TEST_CASE(RefusesAtOnceWhileTheStoreIsDown, Fixture)
{
    store.before = [](const std::string &, const std::string &) { return std::optional(Error{ErrorKind::Unavailable, "down"}); };
    const auto outcome = apply("1", "services.ini", ServiceText);
    BOOST_REQUIRE(!outcome.has_value());
    BOOST_TEST((outcome.error().kind == ErrorKind::Unavailable));
    BOOST_TEST(outcome.error().message.find("not accepted") == 0U);
}

// Two operators edit the same file from the same content. Whoever comes second
// would silently undo the first one's change; the conflict names it instead.
BOOST_FIXTURE_TEST_CASE(NamesTheOtherRevisionOnConflict, Fixture)
{
    apply("1", "services.ini", ServiceText);
    const auto base = contentHash(ServiceText).value();
    BOOST_TEST(apply("2", "services.ini", ServiceText + "; by ana\n", base).has_value());
    const auto late = apply("3", "services.ini", ServiceText + "; by ben\n", base);
    BOOST_REQUIRE(!late.has_value());
    BOOST_TEST((late.error().kind == ErrorKind::Conflict));
    BOOST_TEST(late.error().message.find("revision 2 by ana (apply 2)") != std::string::npos);
}

// Another operator's apply of an unrelated file wins between reading and
// writing head. Both changes must be in the result.
BOOST_FIXTURE_TEST_CASE(KeepsBothUnrelatedFilesAfterALostRace, Fixture)
{
    apply("1", "services.ini", ServiceText);
    bool raced = false;
    store.before = [&](const std::string &operation, const std::string &key) -> std::optional<Error> {
        if (operation == "write" && key == "config/head" && !raced) {
            raced = true;
            repository().apply({.id = ApplyId("other"), .file = FileName("routes.ini"), .text = RouteText, .operatorName = "ben", .basedOn = {}});
        }
        return std::nullopt;
    };
    const auto outcome = apply("2", "more.ini", "[service taller]\ndata-centres = rosario-a\nslots = 6\n");
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST(outcome->revision.value() == 3U);
    BOOST_TEST(inForce->bundle.files.size() == 3U);
}

// The platform is restored from a backup that is older than what nodes serve.
// Building on its head would take accepted changes back, so the next revision
// builds on the one in force and is numbered above it.
BOOST_FIXTURE_TEST_CASE(BuildsOnTheRevisionInForceWhenTheStoreIsOlder, Fixture)
{
    apply("1", "services.ini", ServiceText);
    const auto backup = store.objects;
    apply("2", "routes.ini", RouteText);
    store.objects = backup;
    const auto outcome = apply("3", "services.ini", ServiceText + "; later\n");
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST(outcome->revision.value() == 3U);
    BOOST_TEST(inForce->bundle.files.size() == 2U);
    BOOST_TEST(repository().readBundle(inForce->bundle.manifest, nullptr).has_value());
}
