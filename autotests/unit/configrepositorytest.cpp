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
            .highestKnownRevision = [this] { return Revision(highest); },
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

BOOST_FIXTURE_TEST_CASE(RejectsChangesThatLeaveADanglingReference, Fixture)
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

// An operator checks a file and then applies it. If check and apply used different validation, or
// validated the files in another order, the apply could be rejected after a successful check, or
// with another message.
BOOST_FIXTURE_TEST_CASE(CheckAndApplyGiveTheSameErrors, Fixture)
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
    std::size_t rejected = 0;
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
            ++rejected;
            BOOST_REQUIRE(checked.error().message == applied.error().message);
        }
    }
    BOOST_TEST(rejected > 0U);
    BOOST_TEST(rejected < 400U);
    BOOST_TEST_MESSAGE(rejected << " of 400 rejected alike");
}

// The operator's client gets no response although the store executed the write. A second apply with
// the same id must return the first one's outcome: applying the file again could revert another
// operator's later change.
BOOST_FIXTURE_TEST_CASE(ResolvesALostResponseByApplyId, Fixture)
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

BOOST_FIXTURE_TEST_CASE(RejectsAtOnceWhileTheStoreIsUnavailable, Fixture)
{
    store.before = [](const std::string &, const std::string &) { return std::optional(Error{ErrorKind::Unavailable, "down"}); };
    const auto outcome = apply("1", "services.ini", ServiceText);
    BOOST_REQUIRE(!outcome.has_value());
    BOOST_TEST((outcome.error().kind == ErrorKind::Unavailable));
    BOOST_TEST(outcome.error().message.find("not accepted") == 0U);
}

// Two operators edit the same file, starting from the same content. The second apply would silently
// revert the first one's change; the conflict names that change instead.
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

// Another operator's apply of an unrelated file is accepted between reading and writing the head.
// The result must contain both changes.
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

// The store is restored from a backup that is older than what the nodes serve. Building on its head
// would revert accepted changes, so the next revision builds on the one in force and gets a higher
// number.
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

// The response to the head write is lost, and the write is still in flight when the head is read
// back without the change. Reporting "not accepted" would be wrong a moment later. The same write
// is sent again with the same expected version, so the late one finds another version and fails.
BOOST_FIXTURE_TEST_CASE(ResolvesAWriteThatTakesEffectAfterTheReadBack, Fixture)
{
    apply("1", "services.ini", ServiceText);
    int delayed = 0;
    store.delays = [&](const std::string &key) { return key == "config/head" && delayed++ == 0; };
    const auto outcome = apply("2", "services.ini", ServiceText + "; two\n");
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST(outcome->revision.value() == 2U);
    apply("3", "services.ini", ServiceText + "; three\n");
    store.applyDelayedWrites();
    BOOST_TEST(repository().readHead()->manifest.revision.value() == 3U);
    BOOST_TEST(repository().readHead()->manifest.files.at(FileName("services.ini")) == contentHash(ServiceText + "; three\n"));
}

// No head write gets a response and all take effect later, while the operator got "outcome unknown"
// and retries with the same id. Exactly one of them takes effect.
BOOST_FIXTURE_TEST_CASE(RetryAfterUnknownOutcomeTakesEffectOnce, Fixture)
{
    store.delays = [](const std::string &key) { return key == "config/head"; };
    const auto first = apply("1", "services.ini", ServiceText);
    BOOST_REQUIRE(!first.has_value());
    BOOST_TEST((first.error().kind == ErrorKind::OutcomeUnknown));
    BOOST_TEST(first.error().message.find("--apply-id=1") != std::string::npos);
    store.delays = nullptr;
    store.applyDelayedWrites();
    BOOST_TEST(apply("1", "services.ini", ServiceText)->revision.value() == 1U);
    BOOST_TEST(repository().readHead()->manifest.changes.size() == 1U);
}

// The operator retries an apply whose response was lost, after more than MaxChanges applies by
// others. Its id is no longer among the changes kept; applied again, it would revert what others
// have changed in the file.
BOOST_FIXTURE_TEST_CASE(RejectsARetryWhoseFirstAttemptMayBeForgotten, Fixture)
{
    apply("first", "services.ini", ServiceText);
    for (std::size_t i = 0; i < Manifest::MaxChanges + 1; ++i) {
        apply("other" + std::to_string(i), "services.ini", ServiceText + "; " + std::to_string(i) + "\n");
    }
    const auto before = repository().readHead()->manifest;
    const ApplyRequest retry{.id = ApplyId("first"), .file = FileName("services.ini"), .text = ServiceText, .operatorName = "ana", .begunAt = Revision(0)};
    const auto outcome = repository().apply(retry);
    BOOST_REQUIRE(!outcome.has_value());
    BOOST_TEST((outcome.error().kind == ErrorKind::OutcomeUnknown));
    BOOST_TEST((repository().readHead()->manifest == before));
}

// The store writes a blob but the response is lost, every time. The apply must continue: the blob
// is stored, and nothing is accepted before the head is written.
BOOST_FIXTURE_TEST_CASE(ContinuesWhenTheResponseToABlobWriteIsLost, Fixture)
{
    store.afterWrite = [](const std::string &key) { return key == "config/head" ? std::nullopt : std::optional(Error{ErrorKind::OutcomeUnknown, "lost"}); };
    BOOST_TEST(apply("1", "services.ini", ServiceText).has_value());
}

// The store is restored to revision 1, this node has 2 in force, and other members have 3, which
// hasn't reached this node yet. Numbering the next revision 3 or building it on 2 would revert the
// members' change.
BOOST_FIXTURE_TEST_CASE(WaitsForTheHighestKnownRevisionAlsoWhenTheStoreIsOlder, Fixture)
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

// The store is restored to revision 1, and a node that knows of no other accepts a different
// revision 2, while the rest serve another revision 2. Both operators got the response "accepted",
// so the next revision has both changes.
BOOST_FIXTURE_TEST_CASE(MergesTwoHistoriesWithTheSameNumber, Fixture)
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

// As above, but the forked change is of the same file. The revision in force is kept, and the
// response names the accepted changes that aren't in it.
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

BOOST_FIXTURE_TEST_CASE(ReturnsEarlierRevisions, Fixture)
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

BOOST_FIXTURE_TEST_CASE(RejectsIdsAndNamesThatCannotBePrinted, Fixture)
{
    BOOST_TEST((apply("", "services.ini", ServiceText).error().kind == ErrorKind::Invalid));
    BOOST_TEST((apply("a\x1b[2J", "services.ini", ServiceText).error().kind == ErrorKind::Invalid));
    BOOST_TEST((apply("\xff", "services.ini", ServiceText).error().kind == ErrorKind::Invalid));
    BOOST_TEST((apply(std::string(1000, 'a'), "services.ini", ServiceText).error().kind == ErrorKind::Invalid));
}

// The first attempt's write is still in flight when the operator retries the apply, and now the
// store is unavailable. The operator would take "not accepted" as the result of the whole apply,
// but the first attempt's write takes effect a moment later.
BOOST_FIXTURE_TEST_CASE(RetryWhileTheStoreIsUnavailableStaysUnknown, Fixture)
{
    store.delays = [](const std::string &key) { return key == "config/head"; };
    apply("1", "services.ini", ServiceText);
    store.before = [](const std::string &, const std::string &) { return std::optional(Error{ErrorKind::Unavailable, "down"}); };
    const ApplyRequest retry{.id = ApplyId("1"), .file = FileName("services.ini"), .text = ServiceText, .operatorName = "ana", .isRetry = true};
    const auto outcome = repository().apply(retry);
    BOOST_REQUIRE(!outcome.has_value());
    BOOST_TEST((outcome.error().kind == ErrorKind::OutcomeUnknown));
}

// The head grows with the number of files, and the store would reject a value above the platform's
// limit after the blobs were written. The apply must be rejected before that, with a remedy.
BOOST_FIXTURE_TEST_CASE(RejectsFilesBeyondTheHeadsSizeLimit, Fixture)
{
    constexpr std::size_t MaxBytes = 1000 * 1000;
    constexpr std::size_t QuotesAndCommas = 6;
    Manifest manifest;
    manifest.revision = Revision(1);
    std::size_t bytes = manifest.toJson().size();
    while (bytes < MaxBytes - 150) {
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
