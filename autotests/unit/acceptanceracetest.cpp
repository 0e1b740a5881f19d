#include "core/config/blobcollector.h"
#include "core/config/contenthash.h"
#include "fakeobjectstore.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

using namespace Galenahill;

namespace {

constexpr int Seeds = 6;
// Enough for blobs to fall out of the kept revisions and to be written again.
constexpr int StepsPerSeed = 250;

// Three nodes accept applies and collect blobs over one store. Before each store call, another node
// may run an apply or a collection; each write may be lost before or after it took effect, or take
// effect late. The same seed gives the same run.
struct Race
{
    explicit Race(unsigned seed)
        : random(seed)
    {
        store.before = [this](const std::string &operation, const std::string &) { return interfere(operation); };
        store.afterWrite = [this](const std::string &) { return chance(10) ? std::optional(Error{ErrorKind::OutcomeUnknown, "lost"}) : std::nullopt; };
        store.delays = [this](const std::string &) { return chance(5); };
    }

    std::mt19937 random;
    FakeObjectStore store;
    int depth = 0;
    int lastId = 0;
    std::uint64_t highest = 0;
    std::size_t removed = 0;
    std::set<std::size_t> collecting;
    std::set<std::string> rejected;
    std::vector<ApplyRequest> unknown;
    std::vector<std::unique_ptr<BlobCollector>> collectors;
    ConfigRepository repository{
        {.store = store, .inForce = [] { return nullptr; }, .highestKnownRevision = [] { return Revision(); }, .now = [] { return std::int64_t(1); }}};

    bool chance(int percent)
    {
        return static_cast<int>(random() % 100) < percent;
    }

    std::optional<Error> interfere(const std::string &operation)
    {
        if (depth < 3 && chance(15)) {
            ++depth;
            step();
            --depth;
        }
        if (chance(3)) {
            store.applyDelayedWrites();
        }
        const bool rejects = operation != "watch" && chance(3);
        return rejects ? std::optional(Error{ErrorKind::Unavailable, "down"}) : std::nullopt;
    }

    void step()
    {
        if (chance(30)) {
            collect(random() % collectors.size());
            return;
        }
        if (!unknown.empty() && chance(30)) {
            auto request = unknown.back();
            unknown.pop_back();
            request.isRetry = true;
            run(request);
            return;
        }
        const auto file = FileName("f" + std::to_string(random() % 3) + ".ini");
        const auto text = "[service " + file.value() + "]\ndata-centres = a\nslots = " + std::to_string(1 + random() % 40) + "\n";
        run({.id = ApplyId(std::to_string(++lastId)), .file = file, .text = text, .operatorName = "ana", .begunAt = Revision(highest)});
    }

    // A node's collector runs one round at a time.
    void collect(std::size_t node)
    {
        if (collecting.insert(node).second) {
            removed += collectors[node]->run().value_or(0);
            collecting.erase(node);
        }
    }

    void run(const ApplyRequest &request)
    {
        const auto outcome = repository.apply(request);
        if (outcome) {
            highest = std::max(highest, outcome->revision.value());
        } else if (outcome.error().kind == ErrorKind::OutcomeUnknown) {
            unknown.push_back(request);
        } else if (outcome.error().kind == ErrorKind::Unavailable) {
            rejected.insert(request.id.value());
        }
    }

    // The head in the store, with all faults disabled.
    Manifest settledHead()
    {
        store.before = nullptr;
        store.afterWrite = nullptr;
        store.delays = nullptr;
        store.applyDelayedWrites();
        return repository.readHead()->manifest;
    }
};

}

// Guards against races of operators and collectors while responses are lost and writes take effect
// late, at random. In every interleaving, an apply that was rejected as not accepted never takes
// effect, no id takes effect twice, revisions grow by one each, and every blob that a kept revision
// references is in the store.
BOOST_AUTO_TEST_CASE(EveryInterleavingKeepsTheInvariants)
{
    std::size_t accepted = 0;
    std::size_t removed = 0;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        Race race(seed);
        for (int i = 0; i < 3; ++i) {
            race.collectors.push_back(std::make_unique<BlobCollector>(BlobCollector::Options{.store = race.store, .repository = race.repository}));
        }
        for (int i = 0; i < StepsPerSeed; ++i) {
            race.step();
        }
        const auto head = race.settledHead();
        std::set<std::string> ids;
        std::uint64_t expected = head.changes.empty() ? 0 : head.changes.front().revision.value();
        for (const auto &change : head.changes) {
            BOOST_TEST(ids.insert(change.id.value()).second, "seed " << seed << ": apply " << change.id << " took effect twice");
            BOOST_TEST(race.rejected.count(change.id.value()) == 0U, "seed " << seed << ": rejected apply " << change.id << " took effect");
            BOOST_TEST(change.revision.value() == expected++);
            const auto manifest = head.at(change.revision);
            BOOST_REQUIRE(manifest.has_value());
            const auto bundle = race.repository.readBundle(*manifest, nullptr);
            BOOST_TEST((bundle && bundle->verify()), "seed " << seed << ": revision " << change.revision << " is incomplete");
        }
        accepted += head.revision.value();
        removed += race.removed;
    }
    BOOST_TEST_MESSAGE("accepted: " << accepted << ", blobs removed: " << removed);
    BOOST_TEST(accepted > static_cast<std::size_t>(Seeds) * 100);
    BOOST_TEST(removed > static_cast<std::size_t>(Seeds) * 10);
}
