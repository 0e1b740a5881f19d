#include "core/config/blobcollector.h"
#include "core/config/contenthash.h"
#include "fakeobjectstore.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

struct Fixture
{
    FakeObjectStore store;
    std::shared_ptr<const ConfigRevision> inForce;
    ConfigRepository repository{
        {.store = store, .inForce = [this] { return inForce; }, .highestKnownRevision = [] { return Revision(); }, .now = [] { return std::int64_t(1); }}};
    BlobCollector collector{{.store = store, .repository = repository}};
    int applies = 0;

    static std::string text(int number)
    {
        return "[service s]\ndata-centres = a\nslots = " + std::to_string(number) + "\n";
    }

    static std::string blob(int number)
    {
        return "config/blob/" + contentHash(text(number)).value();
    }

    bool apply(int number)
    {
        const auto outcome
            = repository.apply({.id = ApplyId(std::to_string(++applies)), .file = FileName("f.ini"), .text = text(number), .operatorName = "ana"});
        if (outcome && outcome->accepted) {
            inForce = outcome->accepted;
        }
        return outcome.has_value();
    }

    bool isStored(int number) const
    {
        return store.objects.count(blob(number)) > 0;
    }

    // Applies so many changes that what was in force before is no longer kept.
    void forgetEarlier()
    {
        for (std::size_t i = 0; i < Manifest::MaxChanges + 1; ++i) {
            apply(100 + static_cast<int>(i));
        }
    }

    // Whether every blob that the head references is in the store.
    bool headIsComplete()
    {
        return repository.readBundle(repository.readHead()->manifest, nullptr).has_value();
    }
};

}

BOOST_FIXTURE_TEST_CASE(KeepsBlobsOfEarlierRevisions, Fixture)
{
    apply(1);
    apply(2);
    collector.run();
    apply(3);
    collector.run();
    BOOST_TEST(repository.earlier(Revision(1)).has_value());
    BOOST_TEST(repository.earlier(Revision(2)).has_value());
}

BOOST_FIXTURE_TEST_CASE(RemovesUnreferencedBlobsOnceTheHeadChanged, Fixture)
{
    apply(1);
    forgetEarlier();
    BOOST_TEST(*collector.run() == 0U);
    BOOST_TEST(*collector.run() == 0U);
    BOOST_TEST(isStored(1));
    apply(2);
    BOOST_TEST(*collector.run() == 1U);
    BOOST_TEST(!isStored(1));
}

// An apply finds its blob in the store already, left from an old revision, and is about to write
// the head. Before that, a collector that recorded the blob as a candidate long ago runs the round
// that removes it. If the apply didn't write the blob again, the accepted head would reference a
// missing one.
BOOST_FIXTURE_TEST_CASE(KeepsABlobThatARunningApplyNeeds, Fixture)
{
    apply(1);
    forgetEarlier();
    collector.run();
    apply(2);
    bool collected = false;
    store.before = [&](const std::string &operation, const std::string &key) -> std::optional<Error> {
        if (operation == "write" && key == "config/head" && !collected) {
            collected = true;
            collector.run();
        }
        return std::nullopt;
    };
    BOOST_TEST(apply(1));
    BOOST_TEST(collected);
    BOOST_TEST(headIsComplete());
}

// As above, but the write of the blob is lost before it took effect. Reading back the old blob must
// not be mistaken for the write.
BOOST_FIXTURE_TEST_CASE(KeepsABlobWhoseWriteWasLost, Fixture)
{
    apply(1);
    forgetEarlier();
    collector.run();
    apply(2);
    int writes = 0;
    store.delays = [&](const std::string &key) { return key == blob(1) && writes++ == 0; };
    store.before = [&](const std::string &operation, const std::string &key) -> std::optional<Error> {
        if (operation == "write" && key == "config/head") {
            collector.run();
        }
        return std::nullopt;
    };
    BOOST_TEST(apply(1));
    BOOST_TEST(headIsComplete());
}

// The collector is paused between reading the head and the removal; meanwhile an apply writes the
// old blob again and is accepted. The removal expects the version recorded with the candidate and
// fails.
BOOST_FIXTURE_TEST_CASE(RemovalAfterAPauseDoesNoHarm, Fixture)
{
    apply(1);
    forgetEarlier();
    collector.run();
    apply(2);
    bool paused = false;
    store.before = [&](const std::string &operation, const std::string &key) -> std::optional<Error> {
        if (operation == "remove" && key == blob(1) && !paused) {
            paused = true;
            apply(1);
        }
        return std::nullopt;
    };
    collector.run();
    BOOST_TEST(paused);
    BOOST_TEST(headIsComplete());
}

// The head is restored from a backup, twice, and doesn't reference what the nodes serve. A node
// that reads the revision in force from the store needs those blobs.
BOOST_FIXTURE_TEST_CASE(CollectsNothingWhileTheStoreIsBehind, Fixture)
{
    apply(1);
    const auto backup = store.objects.at("config/head").value;
    apply(2);
    for (int i = 0; i < 2; ++i) {
        store.objects["config/head"] = {backup, ObjectVersion(++store.lastVersion)};
        BOOST_TEST(*collector.run() == 0U);
    }
    BOOST_TEST(isStored(2));
}
