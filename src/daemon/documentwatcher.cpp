#include "daemon/documentwatcher.h"

#include "adapters/http/sleep.h"

#include <algorithm>
#include <random>

namespace Galenahill {

namespace {

// Longest wait of one watch. The store counts each call, and takes waits up to
// half a minute; a connection that fell silent is found by its keep-alive
// probes long before.
constexpr Milliseconds WatchTime{30000};

// Pause after a change before the next watch, a quarter of the two seconds that a
// change may take to every node.
constexpr Milliseconds GatherTime{500};

// Age up to which a node that begins to watch goes on from its last read. An
// older one is read anew: the history in between may hold many changes, each in
// full.
constexpr Milliseconds FreshReadAge{2000};

// How often a node that doesn't watch looks whether it should.
constexpr Milliseconds RoleInterval{150};

// Pause after a failed call, doubled by each further one. An outage's end is
// noticed within the longest pause, while a fleet of 1,100 stays far below the
// store's rate of reads.
constexpr Milliseconds ShortestPause{100};
constexpr Milliseconds LongestPause{800};

}

class DocumentWatcher::Private : public std::enable_shared_from_this<DocumentWatcher::Private>
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , random(options.seed)
        , firstList(options.firstList)
    {
    }

    Options options;
    std::mt19937_64 random;
    std::optional<Freshness> firstList;
    // From where to watch on; zero while the kind has to be listed.
    ObjectVersion version;
    // Whether the last round was a watcher's, and when the store last answered.
    bool watched = false;
    TimePoint lastAnswer;
    std::uint32_t failures = 0;

    asio::awaitable<void> run();
    asio::awaitable<Result<DocumentSet>> next();
    void failed(const Error &error);
    void answered();
    Milliseconds pauseAfterFailure();
};

DocumentWatcher::DocumentWatcher(Options options)
    : d(std::make_shared<Private>(std::move(options)))
{
}

DocumentWatcher::~DocumentWatcher() = default;

void DocumentWatcher::start()
{
    asio::co_spawn(d->options.context, d->run(), asio::detached);
}

asio::awaitable<Result<DocumentSet>> DocumentWatcher::Private::next()
{
    if (version == ObjectVersion()) {
        const auto freshness = watched ? Freshness::Latest : firstList.value_or(Freshness::Latest);
        co_return co_await options.store.list(options.kind, freshness);
    }
    co_return co_await options.store.watch(options.kind, version, WatchTime);
}

asio::awaitable<void> DocumentWatcher::Private::run()
{
    const auto keep = shared_from_this();
    while (!options.stopping) {
        if (!firstList && !options.watches()) {
            watched = false;
            co_await sleepFor(options.context, RoleInterval);
            continue;
        }
        if (!watched && Clock::now() - lastAnswer > FreshReadAge) {
            version = ObjectVersion();
        }
        watched = options.watches();
        const bool all = version == ObjectVersion();
        auto documents = co_await next();
        if (!documents) {
            failed(documents.error());
            co_await sleepFor(options.context, pauseAfterFailure());
            continue;
        }
        answered();
        // A list that may be stale is no place to watch from.
        const bool stale = all && !watched && firstList == Freshness::MayBeStale;
        version = stale ? ObjectVersion() : documents->version;
        firstList.reset();
        if (options.received(std::move(*documents), all)) {
            co_await sleepFor(options.context, GatherTime);
        }
    }
}

void DocumentWatcher::Private::answered()
{
    if (failures > 0) {
        options.log(LogLevel::Info, "store-regained", {{"kind", options.kind}, {"failures", failures}});
    }
    failures = 0;
    lastAnswer = Clock::now();
}

void DocumentWatcher::Private::failed(const Error &error)
{
    if (error.kind == ErrorKind::NotFound) {
        options.log(LogLevel::Warning, "watch-history-lost", {{"kind", options.kind}, {"version", version.value()}});
    } else if (failures == 0) {
        options.log(LogLevel::Warning,
            "store-unavailable",
            {{"kind", options.kind}, {"call", version == ObjectVersion() ? "list" : "watch"}, {"reason", error.message}});
    }
    ++failures;
    // What a broken watch missed is in the list; a watch from an old version
    // may be refused for good.
    version = ObjectVersion();
    if (options.failed) {
        options.failed();
    }
}

Milliseconds DocumentWatcher::Private::pauseAfterFailure()
{
    const auto doubled = ShortestPause * (1 << std::min<std::uint32_t>(failures, 4));
    const auto longest = std::min(LongestPause, Milliseconds(doubled));
    return Milliseconds(std::uniform_int_distribution<std::int64_t>(longest.count() / 2, longest.count())(random));
}

}
