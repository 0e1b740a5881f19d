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
        {.store = store, .inForce = [this] { return inForce; }, .highestKnown = [] { return Revision(); }, .now = [] { return std::int64_t(1); }}};
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

    // So many applies that what was in force before is no longer kept.
    void forgetEarlier()
    {
        for (std::size_t i = 0; i < Manifest::MaxChanges + 1; ++i) {
            apply(100 + static_cast<int>(i));
        }
    }

    // Every content that the head names is in the store.
    bool headIsWhole()
    {
        return repository.readBundle(repository.readHead()->manifest, nullptr).has_value();
    }
};

}

BOOST_FIXTURE_TEST_CASE(KeepsWhatEarlierRevisionsName, Fixture)
{
    apply(1);
    apply(2);
    collector.run();
    apply(3);
    collector.run();
    BOOST_TEST(repository.earlier(Revision(1)).has_value());
    BOOST_TEST(repository.earlier(Revision(2)).has_value());
}

BOOST_FIXTURE_TEST_CASE(RemovesWhatNoKeptRevisionNamesOnceTheHeadChanged, Fixture)
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

// An apply finds its content in the store already, left from an old revision,
// and is about to write the head. In between the collector, which noted the
// content long ago, makes the round that removes it. Without the second write
// of the content, the accepted head would name one that is gone.
BOOST_FIXTURE_TEST_CASE(SparesAContentThatARunningApplyNeeds, Fixture)
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
    BOOST_TEST(headIsWhole());
}

// As above, and the answer to the write of the content is lost before it took
// effect. Reading the old content back must not be taken for the write.
BOOST_FIXTURE_TEST_CASE(SparesAContentWhoseWriteWasLost, Fixture)
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
    BOOST_TEST(headIsWhole());
}

// The collector is paused between reading the head and the removal; meanwhile
// an apply brings the old content back and is accepted. The removal expects
// the version noted before and fails.
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
    BOOST_TEST(headIsWhole());
}

// The head is restored from a backup, twice, and doesn't name what the nodes
// serve. A node that fetches the content in force from the store needs it.
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
