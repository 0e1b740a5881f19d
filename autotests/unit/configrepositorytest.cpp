#include "core/config/configrepository.h"
#include "core/config/contenthash.h"
#include "fakeobjectstore.h"

#include <boost/test/unit_test.hpp>
#include <random>

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

// An operator checks a file, is told that it is valid or why not, and applies
// it. Were check and acceptance two judgements, or one over files in another
// order, the apply would be refused after a good check, or in other words.
BOOST_FIXTURE_TEST_CASE(CheckSaysWhatApplySays, Fixture)
{
    apply("1", "m-services.ini", ServiceText);
    apply("2", "n-routes.ini", RouteText);
    const auto before = inForce;
    const std::vector<std::string> parts = {ServiceText,
        RouteText,
        "[service taller]\ndata-centres = a\nslots = 2\n",
        "slots = 3\n",
        "[route otra]\npath = /ventas\nmethods = POST\nservice = taller\nidempotent = no\ntimeout-ms = 50\n",
        "retries = 9\n",
        "; a comment\n"};
    std::mt19937 random(7);
    std::uniform_int_distribution<std::size_t> pick(0, parts.size() - 1);
    std::size_t refused = 0;
    for (int i = 0; i < 400; ++i) {
        const std::string name = i % 2 == 0 ? "a.ini" : "z.ini";
        auto text = parts[pick(random)];
        if (i % 3 == 0) {
            text += parts[pick(random)];
        }
        inForce = before;
        const auto checked = repository().check({FileName(name), text});
        store.objects.clear();
        const auto applied = apply("try-" + std::to_string(i), name, text);
        BOOST_REQUIRE(checked.has_value() == applied.has_value());
        if (!checked) {
            ++refused;
            BOOST_REQUIRE(checked.error().message == applied.error().message);
        }
    }
    BOOST_TEST(refused > 0U);
    BOOST_TEST(refused < 400U);
    BOOST_TEST_MESSAGE(refused << " of 400 refused alike");
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

// The head write's answer is lost and the write itself is still on its way
// when the head is read again: the change isn't there yet. Saying "not
// accepted" would be wrong a moment later. The same write is sent again on the
// same version, so the late one finds another version and is void.
BOOST_FIXTURE_TEST_CASE(SettlesAWriteThatLandsAfterTheReadingBack, Fixture)
{
    apply("1", "services.ini", ServiceText);
    int delayed = 0;
    store.delays = [&](const std::string &key) { return key == "config/head" && delayed++ == 0; };
    const auto outcome = apply("2", "services.ini", ServiceText + "; two\n");
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST(outcome->revision.value() == 2U);
    apply("3", "services.ini", ServiceText + "; three\n");
    store.landDelayed();
    BOOST_TEST(repository().readHead()->manifest.revision.value() == 3U);
    BOOST_TEST(repository().readHead()->manifest.files.at(FileName("services.ini")) == contentHash(ServiceText + "; three\n"));
}

// No head write gets an answer and all land later, while the operator holds
// "outcome unknown" and repeats with the same id. One of them takes effect.
BOOST_FIXTURE_TEST_CASE(RepeatAfterUnknownOutcomeTakesEffectOnce, Fixture)
{
    store.delays = [](const std::string &key) { return key == "config/head"; };
    const auto first = apply("1", "services.ini", ServiceText);
    BOOST_REQUIRE(!first.has_value());
    BOOST_TEST((first.error().kind == ErrorKind::OutcomeUnknown));
    BOOST_TEST(first.error().message.find("--apply-id=1") != std::string::npos);
    store.delays = nullptr;
    store.landDelayed();
    BOOST_TEST(apply("1", "services.ini", ServiceText)->revision.value() == 1U);
    BOOST_TEST(repository().readHead()->manifest.changes.size() == 1U);
}

// The operator repeats an apply whose answer was lost, a day and more than
// MaxChanges applies by others later. Its id isn't among the changes kept any
// more; run again it would undo what others did to the file.
BOOST_FIXTURE_TEST_CASE(RefusesARepeatWhoseFirstRunMayBeForgotten, Fixture)
{
    apply("first", "services.ini", ServiceText);
    for (std::size_t i = 0; i < Manifest::MaxChanges + 1; ++i) {
        apply("other" + std::to_string(i), "services.ini", ServiceText + "; " + std::to_string(i) + "\n");
    }
    const auto before = repository().readHead()->manifest;
    const ApplyRequest repeat{.id = ApplyId("first"), .file = FileName("services.ini"), .text = ServiceText, .operatorName = "ana", .begunAt = Revision(0)};
    const auto outcome = repository().apply(repeat);
    BOOST_REQUIRE(!outcome.has_value());
    BOOST_TEST((outcome.error().kind == ErrorKind::OutcomeUnknown));
    BOOST_TEST((repository().readHead()->manifest == before));
}

// The store takes a content but its answer is lost, each time. The apply must
// go on: the content is there, and nothing is accepted before the head.
BOOST_FIXTURE_TEST_CASE(GoesOnWhenTheAnswerToAContentIsLost, Fixture)
{
    store.afterWrite = [](const std::string &key) { return key == "config/head" ? std::nullopt : std::optional(Error{ErrorKind::OutcomeUnknown, "lost"}); };
    BOOST_TEST(apply("1", "services.ini", ServiceText).has_value());
}

// The store is restored to revision 1, this node has 2 in force, and other
// members 3, which hasn't come here yet. Numbering the next revision 3 or
// building it on 2 would take the members' change back.
BOOST_FIXTURE_TEST_CASE(WaitsForTheHighestKnownAlsoWhenTheStoreIsOlder, Fixture)
{
    apply("1", "services.ini", ServiceText);
    const auto backup = store.objects;
    apply("2", "routes.ini", RouteText);
    store.objects = backup;
    highest = 3;
    const auto outcome = apply("3", "services.ini", ServiceText + "; later\n");
    BOOST_REQUIRE(!outcome.has_value());
    BOOST_TEST((outcome.error().kind == ErrorKind::Unavailable));
}

// The store is restored to revision 1, and a node that knows no other accepts
// a revision 2 of its own, while the rest serve another revision 2. Both
// operators were told "accepted", so the next revision has both changes.
BOOST_FIXTURE_TEST_CASE(JoinsTwoHistoriesWithOneNumber, Fixture)
{
    apply("1", "services.ini", ServiceText);
    const auto backup = store.objects;
    const auto first = inForce;
    apply("2", "routes.ini", RouteText);
    const auto fleet = inForce;
    store.objects = backup;
    inForce = first;
    apply("forked", "taller.ini", "[service taller]\ndata-centres = rosario-a\nslots = 6\n");
    inForce = fleet;
    const auto outcome = apply("3", "services.ini", ServiceText + "; later\n");
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST(outcome->revision.value() == 3U);
    BOOST_TEST(inForce->bundle.files.size() == 3U);
    BOOST_TEST(outcome->leftOut.empty());
    BOOST_TEST(repository().outcome(ApplyId("forked"))->revision.value() == 3U);
    BOOST_TEST(repository().readBundle(inForce->bundle.manifest, nullptr).has_value());
}

// As above, but the forked change is of the same file. What is in force stays,
// and the operator learns which accepted change isn't.
BOOST_FIXTURE_TEST_CASE(NamesAForkedChangeThatIsLeftOut, Fixture)
{
    apply("1", "services.ini", ServiceText);
    const auto backup = store.objects;
    const auto first = inForce;
    apply("2", "services.ini", ServiceText + "; in force\n");
    const auto fleet = inForce;
    store.objects = backup;
    inForce = first;
    apply("forked", "services.ini", ServiceText + "; forked\n");
    apply("forked2", "services.ini", ServiceText + "; forked again\n");
    inForce = fleet;
    const auto outcome = apply("3", "routes.ini", RouteText);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST(outcome->revision.value() == 4U);
    BOOST_TEST(outcome->leftOut.size() == 2U);
    BOOST_TEST(inForce->bundle.file(FileName("services.ini"))->text == ServiceText + "; in force\n");
}

BOOST_FIXTURE_TEST_CASE(GivesEarlierRevisions, Fixture)
{
    apply("1", "services.ini", ServiceText);
    apply("2", "routes.ini", RouteText);
    apply("3", "services.ini", ServiceText + "; later\n");
    const auto second = repository().earlier(Revision(2));
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->files.size() == 2U);
    BOOST_TEST(second->file(FileName("services.ini"))->text == ServiceText);
    BOOST_TEST(repository().earlier(Revision(1))->files.size() == 1U);
    BOOST_TEST((repository().earlier(Revision(4)).error().kind == ErrorKind::NotFound));
}

BOOST_FIXTURE_TEST_CASE(RefusesIdsAndNamesThatCannotBePrinted, Fixture)
{
    BOOST_TEST((apply("", "services.ini", ServiceText).error().kind == ErrorKind::Invalid));
    BOOST_TEST((apply("a\x1b[2J", "services.ini", ServiceText).error().kind == ErrorKind::Invalid));
    BOOST_TEST((apply("\xff", "services.ini", ServiceText).error().kind == ErrorKind::Invalid));
    BOOST_TEST((apply(std::string(1000, 'a'), "services.ini", ServiceText).error().kind == ErrorKind::Invalid));
}

// The first run's write is still on its way when the operator repeats the
// apply, and now the store is down. "Not accepted" would be taken for the
// whole apply, and the first run's write lands a moment later.
BOOST_FIXTURE_TEST_CASE(RepeatWhileTheStoreIsDownStaysUnknown, Fixture)
{
    store.delays = [](const std::string &key) { return key == "config/head"; };
    apply("1", "services.ini", ServiceText);
    store.before = [](const std::string &, const std::string &) { return std::optional(Error{ErrorKind::Unavailable, "down"}); };
    const ApplyRequest repeat{.id = ApplyId("1"), .file = FileName("services.ini"), .text = ServiceText, .operatorName = "ana", .repeated = true};
    const auto outcome = repository().apply(repeat);
    BOOST_REQUIRE(!outcome.has_value());
    BOOST_TEST((outcome.error().kind == ErrorKind::OutcomeUnknown));
}

// The head grows with the number of files, and a value above the platform's
// limit would be refused by the store after the contents were written. The
// apply is refused before, with what to do.
BOOST_FIXTURE_TEST_CASE(RefusesFilesBeyondTheHeadsSize, Fixture)
{
    constexpr std::size_t MostBytes = 1000 * 1000;
    constexpr std::size_t QuotesAndCommas = 6;
    Manifest manifest;
    manifest.revision = Revision(1);
    std::size_t bytes = manifest.toJson().size();
    while (bytes < MostBytes - 150) {
        const auto name = std::to_string(100000 + manifest.files.size());
        const auto text = "[service s" + name + "]\ndata-centres = a\nslots = 1\n";
        const auto [file, added] = manifest.files.emplace(FileName(name + std::string(90, 'x')), contentHash(text));
        store.objects["config/blob/" + file->second.value()] = {text, ObjectVersion(++store.lastVersion)};
        bytes += file->first.value().size() + file->second.value().size() + QuotesAndCommas;
    }
    store.objects["config/head"] = {manifest.toJson(), ObjectVersion(++store.lastVersion)};
    const auto before = store.objects.size();
    const auto outcome = apply("1", "one-more.ini", ServiceText);
    BOOST_REQUIRE(!outcome.has_value());
    BOOST_TEST((outcome.error().kind == ErrorKind::Invalid));
    BOOST_TEST(outcome.error().message.find("too many files") != std::string::npos);
    BOOST_TEST(store.objects.size() == before);
}
